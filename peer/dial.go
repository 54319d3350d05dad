package peer

import (
	"slices"
	"sort"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxRedialDelay is the longest time between two attempts to connect to an address, in
	// milliseconds.
	maxRedialDelay = clock.Second
	minRedialDelay = 50 * clock.Millisecond
	// idleTimeout is the time in milliseconds after its last call before a connection that is
	// not part of the topology is closed.
	idleTimeout = 30 * clock.Second
)

// dialState is the state of the attempts to connect to one address.
type dialState struct {
	inProgress  bool
	failures    int
	nextAttempt clock.Millis
}

// maintainConnections dials the peers that the topology requires and closes connections
// outside of it that are idle.
func (m *Mesh) maintainConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	wantedPeers := m.wantedPeers()
	for _, address := range m.dialAddresses(wantedPeers) {
		m.startDial(address)
	}
	now := m.opts.Clock.Now()
	for l := range m.openLinks {
		if l.dialed && !slices.Contains(wantedPeers, l.name) && now-l.lastUsed > idleTimeout {
			go l.close(dropIdle)
		}
	}
}

// startDial dials an address in the background, unless an attempt is in progress or the
// delay since the last failure has not passed. The caller holds mu.
func (m *Mesh) startDial(address string) {
	d := m.dialStates[address]
	if d == nil {
		d = &dialState{}
		m.dialStates[address] = d
	}
	if d.inProgress || m.opts.Clock.Now() < d.nextAttempt {
		return
	}
	d.inProgress = true
	m.tasks.Go(func() {
		err := m.dialPeer(m.ctx, address)
		m.mu.Lock()
		defer m.mu.Unlock()
		d.inProgress = false
		if err == nil {
			delete(m.dialStates, address)
			return
		}
		d.failures = min(d.failures+1, 10)
		d.nextAttempt = m.opts.Clock.Now() + jitter(min(minRedialDelay<<d.failures, maxRedialDelay))
	})
}

// dialAddresses returns the addresses to dial: those of the wanted peers that are not
// connected, and those seeds and listed entries that no known member has. The caller holds
// mu.
func (m *Mesh) dialAddresses(wanted []string) []string {
	known := map[string]bool{m.self.Address: true}
	for _, v := range m.members {
		if !v.gone || v.Leaving {
			known[v.Address] = true
		}
	}
	var addresses []string
	for _, name := range wanted {
		if m.links[name] == nil {
			addresses = append(addresses, m.members[name].Address)
		}
	}
	for _, s := range m.listedSeeds {
		if s.Name != m.self.Name && !known[s.Address] {
			addresses = append(addresses, s.Address)
		}
	}
	for _, address := range m.opts.Seeds {
		if !known[address] {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return slices.Compact(addresses)
}

// wantedPeers returns the names of the peers to be connected to. It includes lost peers, so
// that connections are restored after a network partition. The caller holds mu.
func (m *Mesh) wantedPeers() []string {
	now := m.opts.Clock.Now()
	var all, live []Peer
	for _, v := range m.members {
		if v.gone && v.Leaving {
			continue
		}
		all = append(all, v.Peer)
		if m.live(v, now) {
			live = append(live, v.Peer)
		}
	}
	names := neighbours(m.self.Peer, all, m.opts.FullMeshLimit)
	names = append(names, neighbours(m.self.Peer, live, m.opts.FullMeshLimit)...)
	sort.Strings(names)
	return slices.Compact(names)
}

// neighbours returns the names of the entries that self connects to. These are all others
// if there are at most fullMeshLimit entries in total. Otherwise they are chosen on two
// rings, one of the entries of its own failure domain and one of all entries, at distances
// that grow by a constant factor.
func neighbours(self Peer, others []Peer, fullMeshLimit int) []string {
	if len(others) < fullMeshLimit {
		names := make([]string, len(others))
		for i, p := range others {
			names[i] = p.Name
		}
		return names
	}
	var sameDomain []Peer
	for _, p := range others {
		if p.Domain == self.Domain {
			sameDomain = append(sameDomain, p)
		}
	}
	return append(ringNeighbours(self, sameDomain, domainFactor), ringNeighbours(self, others, globalFactor)...)
}

// Factors between the distances of an entry's neighbours on the ring of its failure domain
// and on the ring of all entries.
const (
	domainFactor = 2
	globalFactor = 4
)

// ringNeighbours returns the names of the entries at distances 1, factor, factor², … after
// self on the ring of all entries, sorted by failure domain and name.
func ringNeighbours(self Peer, others []Peer, factor int) []string {
	all := append([]Peer{self}, others...)
	sort.Slice(all, func(i, j int) bool {
		if all[i].Domain != all[j].Domain {
			return all[i].Domain < all[j].Domain
		}
		return all[i].Name < all[j].Name
	})
	selfIndex := slices.IndexFunc(all, func(p Peer) bool { return p.Name == self.Name })
	var names []string
	for distance := 1; distance < len(all); distance *= factor {
		names = append(names, all[(selfIndex+distance)%len(all)].Name)
	}
	return names
}
