package peer

import (
	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	maxMembers = 256
	// forgetAfter bounds how long a lost entry is looked for, in milliseconds.
	forgetAfter = 30 * clock.Minute
	// contested is the number of higher incarnations of the own name that show a duplicate.
	contested = 3
)

// member is an entry with what is needed to order the news of it.
type member struct {
	Peer
	version uint64
	gone    bool
	// heard is when anything new was last heard, directly or through others.
	heard clock.Millis
	// suspect tells that a connection to the entry broke.
	suspect bool
}

// stamp orders the news of one entry.
type stamp struct {
	incarnation uint64
	version     uint64
	gone        bool
}

func (s stamp) after(o stamp) bool {
	if s.incarnation != o.incarnation {
		return s.incarnation > o.incarnation
	}
	if s.version != o.version {
		return s.version > o.version
	}
	return s.gone && !o.gone
}

func (v *member) stamp() stamp { return stamp{v.Incarnation, v.version, v.gone} }

func (v *member) row() row {
	return row{
		Name: v.Name, Incarnation: v.Incarnation, Version: v.version, Address: v.Address, Domain: v.Domain,
		Leaving: v.Leaving, Gone: v.gone, Revision: v.Revision, Leads: v.Leads, Term: v.Term,
		InFlight: v.Load.InFlight, Queued: v.Load.Queued,
	}
}

// selfNow returns this entry with its present load. The caller holds mu.
func (m *Mesh) selfNow() member {
	v := m.self
	if m.opts.Load != nil {
		v.Load = m.opts.Load()
	}
	return v
}

// live reports whether an entry was heard of lately. The caller holds mu.
func (m *Mesh) live(v *member, now clock.Millis) bool {
	if v.gone {
		return false
	}
	bound := missedBeats * m.opts.Beat
	if m.links[v.Name] == nil && !v.suspect {
		bound *= refreshBeats
	}
	return now-v.heard <= bound
}

// unlinked reports whether some live entry is not connected. The caller holds mu.
func (m *Mesh) unlinked() bool {
	now := m.opts.Clock.Now()
	for name, v := range m.members {
		if m.links[name] == nil && m.live(v, now) {
			return true
		}
	}
	return false
}

// forgive takes the others as heard just now if this process itself was paused, so
// that it does not report them lost. The caller holds mu.
func (m *Mesh) forgive() {
	now := m.opts.Clock.Now()
	if m.ticked > 0 && now-m.ticked >= missedBeats*m.opts.Beat {
		for _, v := range m.members {
			v.heard = max(v.heard, now-m.opts.Beat)
		}
	}
	m.ticked = now
}

// expire marks silent entries as gone and forgets those gone long ago. It returns
// the entries that were lost. The caller holds mu.
func (m *Mesh) expire() []Peer {
	now := m.opts.Clock.Now()
	var lost []Peer
	for name, v := range m.members {
		switch {
		case v.gone && now-v.heard > forgetAfter:
			delete(m.members, name)
		case !v.gone && !m.live(v, now):
			v.gone, v.Leads = true, false
			lost = append(lost, m.told(v, now))
			m.opts.Log.WithField("peer", name).Info("peer: lost")
		}
	}
	return lost
}

// told returns a peer as watchers are told of it. The caller holds mu.
func (m *Mesh) told(v *member, now clock.Millis) Peer {
	p := v.Peer
	p.Age = now - v.heard
	if v.gone {
		p.Age = max(p.Age, missedBeats*m.opts.Beat+1)
	}
	return p
}

// merge takes in one row that came over l and returns the peer if something that
// matters to others has changed. The caller holds mu.
func (m *Mesh) merge(l *link, r row) (Peer, bool) {
	if r.Name == m.self.Name {
		m.contest(r)
		return Peer{}, false
	}
	now := m.opts.Clock.Now()
	v, known := m.members[r.Name]
	if !known {
		if r.Address == "" || r.Domain == "" || len(m.members) >= maxMembers {
			return Peer{}, false
		}
		v = &member{Peer: Peer{Name: r.Name}}
	}
	s := stamp{r.Incarnation, r.Version, r.Gone}
	l.saw(r.Name, s)
	if known && !s.after(v.stamp()) {
		return Peer{}, false
	}
	if other := m.links[r.Name]; r.Gone && other != nil && other != l && r.Incarnation == v.Incarnation {
		// The entry is connected here: let it contradict the rumour itself.
		other.send(kindBeat, frame{Kind: kindBeat, Rows: []row{m.ownRow(other), r}})
		return Peer{}, false
	}
	old, was := v.Peer, v.gone
	v.take(r)
	v.heard, v.suspect = now, false
	m.members[r.Name] = v
	changed := !known || was != v.gone || old.Incarnation != v.Incarnation || old.Leaving != v.Leaving ||
		old.Revision != v.Revision || old.Leads != v.Leads || old.Term != v.Term || old.Address != v.Address
	return m.told(v, now), changed
}

func (v *member) take(r row) {
	v.Incarnation, v.version, v.gone = r.Incarnation, r.Version, r.Gone
	if r.Address != "" {
		v.Address, v.Domain = r.Address, r.Domain
	}
	v.Leaving, v.Revision, v.Leads, v.Term = r.Leaving, r.Revision, r.Leads, r.Term
	v.Load = Load{r.InFlight, r.Queued}
	if v.gone {
		v.Leads = false
	}
}

// contest answers rumours about this entry itself. The caller holds mu.
func (m *Mesh) contest(r row) {
	s := stamp{r.Incarnation, r.Version, r.Gone}
	if !s.after(m.self.stamp()) {
		return
	}
	if r.Incarnation > m.self.Incarnation {
		m.self.Incarnation = r.Incarnation + 1
		m.contests++
		if m.contests >= contested {
			m.duplicate(r.Address)
		}
	}
	m.self.version = max(m.self.version, r.Version) + 1
}

// duplicate reports that another live entry has this entry's name. The caller holds mu.
func (m *Mesh) duplicate(address string) {
	m.meter.duplicates.Inc()
	m.opts.Log.WithField("other", address).Error("peer: another entry has the name of this one; give each its own --name")
}

// ownRow returns this entry's row for l, without what was told before. The caller
// holds mu.
func (m *Mesh) ownRow(l *link) row {
	v := m.selfNow()
	r := v.row()
	r.Name = ""
	if l.told[v.Name] == r.Incarnation {
		r.Incarnation, r.Address, r.Domain = 0, "", ""
	}
	l.told[v.Name] = v.Incarnation
	return r
}

// news returns this entry's row and the rows that l has not seen yet. The caller
// holds mu.
func (m *Mesh) news(l *link) []row {
	rows := []row{m.ownRow(l)}
	for name, v := range m.members {
		if len(rows) == maxRows {
			break
		}
		if !v.stamp().after(l.seen[name]) {
			continue
		}
		r := v.row()
		if l.told[name] == r.Incarnation && !r.Gone {
			r.Address, r.Domain = "", ""
		}
		l.told[name] = r.Incarnation
		if r.Gone {
			delete(l.told, name)
		}
		l.saw(name, v.stamp())
		rows = append(rows, r)
	}
	return rows
}
