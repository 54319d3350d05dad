package peer

import (
	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	maxMembers = 256
	// forgetAfter is the time in milliseconds for which reconnecting to a lost entry is tried.
	forgetAfter = 30 * clock.Minute
	// maxIncarnationConflicts is the number of times that a higher incarnation of this entry's
	// own name may be received before another live entry is assumed to have the same name.
	maxIncarnationConflicts = 3
)

// member is an entry together with the version of its state. It is gone if it is lost or has
// left.
type member struct {
	Peer
	version uint64
	gone    bool
	// lastHeard is the time at which the last frame from the entry itself, or the last newer
	// state relayed by others, was received.
	lastHeard clock.Millis
	// suspect is true if the connection to the entry was lost. The member then expires as fast
	// as a connected one.
	suspect bool
}

// stateVersion orders the states of one entry by age.
type stateVersion struct {
	incarnation uint64
	version     uint64
	gone        bool
}

func (v stateVersion) newerThan(other stateVersion) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation > other.incarnation
	}
	if v.version != other.version {
		return v.version > other.version
	}
	return v.gone && !other.gone
}

func (v *member) stateVersion() stateVersion { return stateVersion{v.Incarnation, v.version, v.gone} }

func (v *member) entryState() entryState {
	return entryState{
		Name: v.Name, Incarnation: v.Incarnation, Version: v.version, Address: v.Address, Domain: v.Domain,
		Leaving: v.Leaving, Gone: v.gone, Revision: v.Revision, Leads: v.Leads, Term: v.Term,
		InFlight: v.Load.InFlight, Queued: v.Load.Queued,
	}
}

// selfWithLoad returns the state of this entry with its present load. The caller holds mu.
func (m *Mesh) selfWithLoad() member {
	v := m.self
	if m.opts.Load != nil {
		v.Load = m.opts.Load()
	}
	return v
}

// live reports whether a member is not gone and lastHeard is recent enough. The caller holds
// mu.
func (m *Mesh) live(v *member, now clock.Millis) bool {
	if v.gone {
		return false
	}
	maxAge := maxMissedHeartbeats * m.opts.HeartbeatInterval
	if m.links[v.Name] == nil && !v.suspect {
		maxAge *= refreshHeartbeats
	}
	return now-v.lastHeard <= maxAge
}

// hasUnconnectedPeer reports whether there is a live entry without a connection to it. The
// caller holds mu.
func (m *Mesh) hasUnconnectedPeer() bool {
	now := m.opts.Clock.Now()
	for name, v := range m.members {
		if m.links[name] == nil && m.live(v, now) {
			return true
		}
	}
	return false
}

// extendAfterPause sets lastHeard of all members to one heartbeat interval ago, unless it is
// later, if this process itself was paused for three heartbeat intervals or more. The others
// are then not reported as lost because of the pause. The caller holds mu.
func (m *Mesh) extendAfterPause() {
	now := m.opts.Clock.Now()
	if m.lastTick > 0 && now-m.lastTick >= maxMissedHeartbeats*m.opts.HeartbeatInterval {
		for _, v := range m.members {
			v.lastHeard = max(v.lastHeard, now-m.opts.HeartbeatInterval)
		}
	}
	m.lastTick = now
}

// expireSilent marks members that are no longer live as gone and returns them. It removes
// members that have been gone for longer than forgetAfter. The caller holds mu.
func (m *Mesh) expireSilent() []Peer {
	now := m.opts.Clock.Now()
	var lost []Peer
	for name, v := range m.members {
		switch {
		case v.gone && now-v.lastHeard > forgetAfter:
			delete(m.members, name)
		case !v.gone && !m.live(v, now):
			v.gone, v.Leads = true, false
			lost = append(lost, m.peerForWatchers(v, now))
			m.opts.Log.WithField("peer", name).Info("peer: lost contact with entry")
		}
	}
	return lost
}

// peerForWatchers returns the peer that is passed to the watchers. The Age of a member that
// is gone is set to more than three heartbeat intervals. The caller holds mu.
func (m *Mesh) peerForWatchers(v *member, now clock.Millis) Peer {
	p := v.Peer
	p.Age = now - v.lastHeard
	if v.gone {
		p.Age = max(p.Age, maxMissedHeartbeats*m.opts.HeartbeatInterval+1)
	}
	return p
}

// mergeState merges one state that was received over l. It returns the peer, and true if a
// field changed of which other entries and the watchers have to be notified. The caller
// holds mu.
func (m *Mesh) mergeState(l *link, state entryState) (Peer, bool) {
	if state.Name == m.self.Name {
		m.refute(state)
		return Peer{}, false
	}
	now := m.opts.Clock.Now()
	v, known := m.members[state.Name]
	if !known {
		if state.Address == "" || state.Domain == "" || len(m.members) >= maxMembers {
			return Peer{}, false
		}
		v = &member{Peer: Peer{Name: state.Name}}
	}
	received := stateVersion{state.Incarnation, state.Version, state.Gone}
	l.recordVersion(state.Name, received)
	if known && !received.newerThan(v.stateVersion()) {
		return Peer{}, false
	}
	if state.Incarnation > v.Incarnation && state.Address == "" && !state.Gone {
		// It was received after the complete state of the new process, which is merged next.
		return Peer{}, false
	}
	if other := m.links[state.Name]; state.Gone && other != nil && other != l && state.Incarnation == v.Incarnation {
		// The sender considers the entry gone, but this process is connected to the entry.
		// Forward the state to the entry, which then sends a newer version to refute it.
		other.send(kindHeartbeat, frame{Kind: kindHeartbeat, States: []entryState{m.ownState(other), state}})
		return Peer{}, false
	}
	old, wasGone := v.Peer, v.gone
	v.apply(state)
	v.lastHeard, v.suspect = now, false
	m.members[state.Name] = v
	changed := !known || wasGone != v.gone || old.Incarnation != v.Incarnation || old.Leaving != v.Leaving ||
		old.Revision != v.Revision || old.Leads != v.Leads || old.Term != v.Term || old.Address != v.Address
	return m.peerForWatchers(v, now), changed
}

func (v *member) apply(state entryState) {
	v.Incarnation, v.version, v.gone = state.Incarnation, state.Version, state.Gone
	if state.Address != "" {
		v.Address, v.Domain = state.Address, state.Domain
	}
	v.Leaving, v.Revision, v.Leads, v.Term = state.Leaving, state.Revision, state.Leads, state.Term
	v.Load = Load{state.InFlight, state.Queued}
	if v.gone {
		v.Leads = false
	}
}

// refute handles a state of this entry that was received from others. A state that
// is newer than this entry's own comes from an earlier run of the process, from another
// entry of the same name or from an entry that considers this one gone. This entry then
// raises its own incarnation or version above it. The caller holds mu.
func (m *Mesh) refute(state entryState) {
	received := stateVersion{state.Incarnation, state.Version, state.Gone}
	if !received.newerThan(m.self.stateVersion()) {
		return
	}
	if state.Incarnation > m.self.Incarnation {
		m.self.Incarnation = state.Incarnation + 1
		m.incarnationConflicts++
		if m.incarnationConflicts >= maxIncarnationConflicts {
			m.reportDuplicateName(state.Address)
		}
	}
	m.self.version = max(m.self.version, state.Version) + 1
}

// reportDuplicateName counts and logs that another live entry has this entry's name. The
// caller holds mu.
func (m *Mesh) reportDuplicateName(address string) {
	m.meshMetrics.duplicates.Inc()
	m.opts.Log.WithField("other", address).Error("peer: another entry has the name of this one; give each its own --name")
}

// ownState returns the state of this entry to send over l. Incarnation, address and domain
// are omitted if they were sent before. The caller holds mu.
func (m *Mesh) ownState(l *link) entryState {
	v := m.selfWithLoad()
	state := v.entryState()
	state.Name = ""
	if l.sentIncarnation[v.Name] == state.Incarnation {
		state.Incarnation, state.Address, state.Domain = 0, "", ""
	}
	l.sentIncarnation[v.Name] = v.Incarnation
	return state
}

// unsentStates returns the state of this entry, followed by states of other entries that
// are newer than what was sent or received over l, at most maxStates in all. It records
// them as sent. The caller holds mu.
func (m *Mesh) unsentStates(l *link) []entryState {
	states := []entryState{m.ownState(l)}
	for name, v := range m.members {
		if len(states) == maxStates {
			break
		}
		if !v.stateVersion().newerThan(l.seenVersions[name]) {
			continue
		}
		state := v.entryState()
		if l.sentIncarnation[name] == state.Incarnation && !state.Gone {
			state.Address, state.Domain = "", ""
		}
		l.sentIncarnation[name] = state.Incarnation
		if state.Gone {
			delete(l.sentIncarnation, name)
		}
		l.recordVersion(name, v.stateVersion())
		states = append(states, state)
	}
	return states
}
