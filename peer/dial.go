package peer

import (
	"slices"
	"sort"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxRedial bounds the time between two attempts to reach an entry, in milliseconds.
	maxRedial = clock.Second
	minRedial = 50 * clock.Millisecond
	// idleAfter is how long a connection outside the mesh's form is kept, in milliseconds.
	idleAfter = 30 * clock.Second
)

// dialing is the state of the attempts to reach one address.
type dialing struct {
	busy  bool
	tries int
	next  clock.Millis
}

// connect opens the connections that the mesh's form asks for and closes idle ones.
func (m *Mesh) connect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	wanted := m.wanted()
	for _, address := range m.addresses(wanted) {
		m.dial(address)
	}
	now := m.opts.Clock.Now()
	for l := range m.open {
		if l.dialed && !slices.Contains(wanted, l.name) && now-l.used > idleAfter {
			go l.close(dropIdle)
		}
	}
}

// dial tries an address unless it was tried a moment ago. The caller holds mu.
func (m *Mesh) dial(address string) {
	d := m.dials[address]
	if d == nil {
		d = &dialing{}
		m.dials[address] = d
	}
	if d.busy || m.opts.Clock.Now() < d.next {
		return
	}
	d.busy = true
	m.tasks.Go(func() {
		err := m.join(m.ctx, address)
		m.mu.Lock()
		defer m.mu.Unlock()
		d.busy = false
		if err == nil {
			delete(m.dials, address)
			return
		}
		d.tries = min(d.tries+1, 10)
		d.next = m.opts.Clock.Now() + jitter(min(minRedial<<d.tries, maxRedial))
	})
}

// addresses returns where to dial: unconnected wanted entries, and seeds and listed
// entries that are not known. The caller holds mu.
func (m *Mesh) addresses(wanted []string) []string {
	known := map[string]bool{m.self.Address: true}
	for _, v := range m.members {
		if !v.gone || v.Leaving {
			known[v.Address] = true
		}
	}
	var list []string
	for _, name := range wanted {
		if m.links[name] == nil {
			list = append(list, m.members[name].Address)
		}
	}
	for _, s := range m.listed {
		if s.Name != m.self.Name && !known[s.Address] {
			list = append(list, s.Address)
		}
	}
	for _, address := range m.opts.Seeds {
		if !known[address] {
			list = append(list, address)
		}
	}
	sort.Strings(list)
	return slices.Compact(list)
}

// wanted returns the entries to be connected with. Lost ones are looked for as well,
// so that a healed cut is noticed. The caller holds mu.
func (m *Mesh) wanted() []string {
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
	names := neighbours(m.self.Peer, all, m.opts.Full)
	names = append(names, neighbours(m.self.Peer, live, m.opts.Full)...)
	sort.Strings(names)
	return slices.Compact(names)
}

// neighbours returns the names of the entries that self connects with: all others
// while there are at most full entries, else some of its own failure domain and
// fewer of all, at distances that grow by a constant factor around two rings.
func neighbours(self Peer, others []Peer, full int) []string {
	if len(others) < full {
		names := make([]string, len(others))
		for i, p := range others {
			names[i] = p.Name
		}
		return names
	}
	var domain []Peer
	for _, p := range others {
		if p.Domain == self.Domain {
			domain = append(domain, p)
		}
	}
	return append(ring(self, domain, domainFactor), ring(self, others, globalFactor)...)
}

// Factors between the distances of an entry's neighbours.
const (
	domainFactor = 2
	globalFactor = 4
)

// ring returns the entries at distances 1, factor, factor², … after self.
func ring(self Peer, others []Peer, factor int) []string {
	all := append([]Peer{self}, others...)
	sort.Slice(all, func(i, j int) bool {
		if all[i].Domain != all[j].Domain {
			return all[i].Domain < all[j].Domain
		}
		return all[i].Name < all[j].Name
	})
	at := slices.IndexFunc(all, func(p Peer) bool { return p.Name == self.Name })
	var names []string
	for d := 1; d < len(all); d *= factor {
		names = append(names, all[(at+d)%len(all)].Name)
	}
	return names
}
