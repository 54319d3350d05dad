// Package peer is the mesh of entries: each tells the others over WebSocket, in
// CBOR frames, that it lives and what it does, and calls them by name.
//
// Up to a dozen entries are connected each with each. Past that an entry keeps
// connections within its own failure domain and a few to others, and what it has
// heard of the rest travels along with its heartbeats.
//
// # Usage
//
//	m := peer.New(peer.Options{Name: "e1", Domain: "a", Address: "10.0.0.1:7000", Tokens: secrets, Counters: counters})
//	mux.Handle("/mesh", m)
//	m.Handle("text", func(ctx context.Context, from string, in []byte) ([]byte, error) { ... })
//	for _, p := range m.Peers() { ... }
//	out, err := m.Call(ctx, "e2", "text", nil)
//
// A peer is live while it was heard within three heartbeats, directly or through
// others. An entry that restarts under the same name has a higher incarnation.
package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/token"
)

// Load is a digest of how busy an entry is.
type Load struct {
	// InFlight is the number of quick requests in progress, Queued the number that wait.
	InFlight int
	Queued   int
}

// Peer is what is known of one entry.
type Peer struct {
	Name    string
	Address string
	Domain  string
	// Incarnation grows each time an entry starts under the name.
	Incarnation uint64
	// Leaving tells that the entry takes nothing new.
	Leaving bool
	// Revision is the one of the text in force there.
	Revision uint64
	// Leads tells that the entry schedules its failure domain, under Term.
	Leads bool
	Term  int64
	Load  Load
	// Linked tells that a connection to the entry is open.
	Linked bool
	// Age is the time in milliseconds since the entry was last heard of.
	Age clock.Millis
}

// Handler answers a call of another entry. The context ends at the caller's deadline.
type Handler = func(ctx context.Context, from string, in []byte) ([]byte, error)

// Seed is an address at which an entry may be found.
type Seed struct {
	Name    string
	Address string
}

// Options configures a Mesh.
type Options struct {
	// Name, Domain and Address describe this entry to the others.
	Name    string
	Domain  string
	Address string
	// Seeds are addresses to join first.
	Seeds []string
	// List returns further addresses to join; nil means none.
	List func(ctx context.Context) ([]Seed, error)
	// Load returns the present load; nil means none is told.
	Load func() Load
	// Beat is the time between two heartbeats in milliseconds; 0 means 1 s.
	Beat clock.Millis
	// Full is the number of entries up to which all are connected with each other; 0 means 12.
	Full     int
	Tokens   *token.Secrets
	Counters *counters.Counters
	Clock    *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

const (
	defaultBeat = clock.Second
	defaultFull = 12
	// missedBeats is the number of heartbeats after which a silent peer is not live.
	missedBeats = 3
	// refreshBeats is the number of heartbeats between two proofs of life to entries
	// that are not connected.
	refreshBeats = 10
	listBeats    = 10
)

// Mesh is this entry's place among the entries. It is safe for concurrent use.
type Mesh struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	meter  meter

	mu       sync.Mutex
	self     member
	members  map[string]*member
	links    map[string]*link
	open     map[*link]bool
	dials    map[string]*dialing
	listed   []Seed
	handlers map[string]Handler
	watchers []func(Peer)
	contests int
	ticked   clock.Millis
	stopped  bool
}

// New returns a mesh that joins the others until Stop.
func New(opts Options) *Mesh {
	if opts.Beat == 0 {
		opts.Beat = defaultBeat
	}
	if opts.Full == 0 {
		opts.Full = defaultFull
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Counters == nil {
		opts.Counters = counters.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		opts: opts, ctx: ctx, cancel: cancel, meter: newMeter(opts.Counters),
		members: make(map[string]*member), links: make(map[string]*link), open: make(map[*link]bool),
		dials: make(map[string]*dialing), handlers: make(map[string]Handler),
	}
	m.self.Peer = Peer{Name: opts.Name, Address: opts.Address, Domain: opts.Domain, Incarnation: uint64(opts.Clock.Now())}
	opts.Counters.Gauge("chestnutsail_peer_live", func() float64 { return float64(len(m.Peers())) })
	m.tasks.Go(func() {
		for beat := 0; ; beat++ {
			m.tick(beat)
			if !clock.Sleep(ctx, jitter(opts.Beat)) {
				return
			}
		}
	})
	if opts.List != nil {
		m.tasks.Go(func() {
			for {
				m.readList(ctx)
				if !clock.Sleep(ctx, jitter(listBeats*opts.Beat)) {
					return
				}
			}
		})
	}
	return m
}

// Stop closes all connections. An entry that leaves calls Leave some time before.
func (m *Mesh) Stop(context.Context) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel()
	for _, l := range m.opened() {
		l.close(dropStopped)
	}
	m.tasks.Wait()
	return nil
}

// Self returns this entry as it is told to others.
func (m *Mesh) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfNow().Peer
}

// Peers returns the other live entries, ordered by name, leaving ones included.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	var peers []Peer
	for _, v := range m.members {
		if m.live(v, now) {
			p := v.Peer
			p.Age = now - v.heard
			p.Linked = m.links[p.Name] != nil
			peers = append(peers, p)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Announce tells the others whether this entry schedules its failure domain, and
// under which term.
func (m *Mesh) Announce(leads bool, term int64) {
	m.update(func(p *Peer) { p.Leads, p.Term = leads, term })
}

// Revise tells the others which revision of the text is in force here.
func (m *Mesh) Revise(revision uint64) {
	m.update(func(p *Peer) { p.Revision = revision })
}

// Leave tells the others that this entry takes nothing new.
func (m *Mesh) Leave() {
	m.update(func(p *Peer) { p.Leaving = true })
}

// Watch has f called with each peer that appears or changes, and with each that is
// lost, its Age then being over three heartbeats. f must not block.
func (m *Mesh) Watch(f func(Peer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers = append(m.watchers, f)
}

// Handle has calls of a method answered by f. It panics when the method is taken.
func (m *Mesh) Handle(method string, f Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.handlers[method]; taken {
		panic(fmt.Sprintf("peer: method %q handled twice", method))
	}
	m.handlers[method] = f
}

// update changes what is told of this entry and tells it at once if it differs.
func (m *Mesh) update(f func(*Peer)) {
	m.mu.Lock()
	old := m.self.Peer
	f(&m.self.Peer)
	changed := m.self.Peer != old
	if changed {
		m.self.version++
	}
	m.mu.Unlock()
	if changed {
		m.flush()
	}
}

// tick sends the heartbeats, gives up silent peers and keeps the mesh connected.
func (m *Mesh) tick(beat int) {
	m.mu.Lock()
	if beat%refreshBeats == 0 && m.unlinked() {
		m.self.version++
	}
	m.forgive()
	lost := m.expire()
	m.mu.Unlock()
	m.flush()
	m.notify(lost)
	m.connect()
}

// flush sends each connected peer this entry's state and the news of others.
func (m *Mesh) flush() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.open {
		l.send(kindBeat, frame{Kind: kindBeat, Rows: m.news(l)})
	}
}

func (m *Mesh) notify(changed []Peer) {
	if len(changed) == 0 {
		return
	}
	m.mu.Lock()
	watchers := m.watchers
	m.mu.Unlock()
	for _, f := range watchers {
		for _, p := range changed {
			f(p)
		}
	}
}

func (m *Mesh) readList(ctx context.Context) {
	list, err := m.opts.List(ctx)
	if err != nil {
		m.opts.Log.WithError(err).Debug("peer: list of entries not read")
		return
	}
	m.mu.Lock()
	m.listed = list
	m.mu.Unlock()
}

func (m *Mesh) opened() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.open))
	for l := range m.open {
		links = append(links, l)
	}
	return links
}

// jitter returns a span between nine tenths of d and d.
func jitter(d clock.Millis) clock.Millis { return d - rand.N(d/10+1) }
