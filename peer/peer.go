// Package peer implements the mesh of entries, the server processes of the system.
// Entries exchange heartbeats with their state and call each other by name, over
// WebSocket connections with CBOR frames.
//
// Up to 12 entries form a full mesh. In a larger system each entry connects to some
// entries of its own failure domain and to a few others, and heartbeats also carry the
// states of entries that the receiver is not connected to.
//
// # Usage
//
//	m := peer.New(peer.Options{Name: "e1", Domain: "a", Address: "10.0.0.1:7000", Tokens: secrets, Counters: counters})
//	mux.Handle("/mesh", m)
//	m.Handle("text", func(ctx context.Context, from string, body []byte) ([]byte, error) { ... })
//	for _, p := range m.Peers() { ... }
//	out, err := m.Call(ctx, "e2", "text", nil)
//
// A connected peer is live while a frame from it, such as a heartbeat, is received at least
// every three heartbeat intervals. A peer without a connection is live while a new version
// of its state has been relayed by others within 30 intervals. An entry that is not connected
// to all others issues a new version every 10 intervals.
// An entry that restarts under the same name gets a higher incarnation.
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

// Load summarizes the load of an entry.
type Load struct {
	// InFlight is the number of quick requests in progress, Queued the number that wait in
	// the entry's queue.
	InFlight int
	Queued   int
}

// Peer is the last known state of an entry.
type Peer struct {
	Name    string
	Address string
	Domain  string
	// Incarnation increases with each start of an entry under this name.
	Incarnation uint64
	// Leaving is true once the entry shuts down and accepts no new work.
	Leaving bool
	// Revision is the revision of the cluster text in force at the entry.
	Revision uint64
	// Leads is true if the entry is the leader that schedules its failure domain. Term is
	// the term of its leadership.
	Leads bool
	Term  int64
	Load  Load
	// Connected is true if a connection to the entry is open.
	Connected bool
	// Age is the time in milliseconds since the entry was last known to be running: since a
	// frame from it, or a newer state relayed by others, was received.
	Age clock.Millis
}

// Handler handles a request from the entry named from and returns the answer. The
// context ends at the caller's deadline or when the connection is closed.
type Handler = func(ctx context.Context, from string, body []byte) ([]byte, error)

// Seed is the name and address under which an entry is listed.
type Seed struct {
	Name    string
	Address string
}

// Options configures a Mesh.
type Options struct {
	// Name, Domain and Address are the name, failure domain and host:port of this entry.
	Name    string
	Domain  string
	Address string
	// Seeds are addresses of entries to connect to first.
	Seeds []string
	// List returns the entries listed with the platform, which are connected to as well; nil
	// means none.
	List func(ctx context.Context) ([]Seed, error)
	// Load returns the present load of this entry; nil means that it reports a load of zero.
	Load func() Load
	// HeartbeatInterval is the time between two heartbeats in milliseconds; 0 means 1 s.
	HeartbeatInterval clock.Millis
	// FullMeshLimit is the number of entries up to which all are connected to each other; 0 means 12.
	FullMeshLimit int
	Tokens        *token.Secrets
	Counters      *counters.Counters
	Clock         *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

const (
	defaultHeartbeatInterval = clock.Second
	defaultFullMeshLimit     = 12
	// maxMissedHeartbeats is the number of heartbeat intervals after which a connected peer
	// that sent nothing is no longer live.
	maxMissedHeartbeats = 3
	// refreshHeartbeats is the number of heartbeats after which an entry that is not
	// connected to all others increases the version of its state. The new version is
	// relayed to those others and shows them that the entry is running. listHeartbeats is
	// the number of heartbeat intervals between two calls of Options.List.
	refreshHeartbeats = 10
	listHeartbeats    = 10
)

// Mesh connects this entry to the other entries. It is safe for concurrent use.
type Mesh struct {
	opts        Options
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	meshMetrics meshMetrics

	mu                   sync.Mutex
	self                 member
	members              map[string]*member
	links                map[string]*link
	openLinks            map[*link]bool
	dialStates           map[string]*dialState
	listedSeeds          []Seed
	handlers             map[string]Handler
	watchers             []func(Peer)
	incarnationConflicts int
	lastTick             clock.Millis
	stopped              bool
}

// New returns a mesh that connects to the other entries and exchanges heartbeats with
// them until Stop is called.
func New(opts Options) *Mesh {
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = defaultHeartbeatInterval
	}
	if opts.FullMeshLimit == 0 {
		opts.FullMeshLimit = defaultFullMeshLimit
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
		opts: opts, ctx: ctx, cancel: cancel, meshMetrics: newMeshMetrics(opts.Counters),
		members: make(map[string]*member), links: make(map[string]*link), openLinks: make(map[*link]bool),
		dialStates: make(map[string]*dialState), handlers: make(map[string]Handler),
	}
	m.self.Peer = Peer{Name: opts.Name, Address: opts.Address, Domain: opts.Domain, Incarnation: uint64(opts.Clock.Now())}
	opts.Counters.Gauge("chestnutsail_peer_live", func() float64 { return float64(len(m.Peers())) })
	m.tasks.Go(func() {
		for count := 0; ; count++ {
			m.tick(count)
			if !clock.Sleep(ctx, jitter(opts.HeartbeatInterval)) {
				return
			}
		}
	})
	if opts.List != nil {
		m.tasks.Go(func() {
			for {
				m.readList(ctx)
				if !clock.Sleep(ctx, jitter(listHeartbeats*opts.HeartbeatInterval)) {
					return
				}
			}
		})
	}
	return m
}

// Stop closes all connections and waits for the goroutines of the mesh. An entry that
// shuts down cleanly calls AnnounceLeaving some time before.
func (m *Mesh) Stop(context.Context) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel()
	for _, l := range m.allOpenLinks() {
		l.close(dropStopped)
	}
	m.tasks.Wait()
	return nil
}

// Self returns the state of this entry as it is sent to the others.
func (m *Mesh) Self() Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfWithLoad().Peer
}

// Peers returns the other live entries, including leaving ones, sorted by name.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	var peers []Peer
	for _, v := range m.members {
		if m.live(v, now) {
			p := v.Peer
			p.Age = now - v.lastHeard
			p.Connected = m.links[p.Name] != nil
			peers = append(peers, p)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// AnnounceLeadership publishes to the other entries whether this entry leads its failure
// domain, and under which term.
func (m *Mesh) AnnounceLeadership(leads bool, term int64) {
	m.updateSelf(func(p *Peer) { p.Leads, p.Term = leads, term })
}

// AnnounceRevision publishes to the other entries the revision of the cluster text that
// is in force at this entry.
func (m *Mesh) AnnounceRevision(revision uint64) {
	m.updateSelf(func(p *Peer) { p.Revision = revision })
}

// AnnounceLeaving publishes to the other entries that this entry shuts down and accepts no
// new work.
func (m *Mesh) AnnounceLeaving() {
	m.updateSelf(func(p *Peer) { p.Leaving = true })
}

// Watch registers a function that is called with each peer that is new or has changed,
// and with each peer that is lost. A lost peer has an Age of more than three heartbeat
// intervals. f must not block.
func (m *Mesh) Watch(f func(Peer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers = append(m.watchers, f)
}

// Handle registers the handler of a method. It panics if the method already has one.
func (m *Mesh) Handle(method string, f Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, taken := m.handlers[method]; taken {
		panic(fmt.Sprintf("peer: method %q handled twice", method))
	}
	m.handlers[method] = f
}

// updateSelf applies f to the state of this entry and, if that changes it, sends the new
// state to the connected peers at once.
func (m *Mesh) updateSelf(f func(*Peer)) {
	m.mu.Lock()
	old := m.self.Peer
	f(&m.self.Peer)
	changed := m.self.Peer != old
	if changed {
		m.self.version++
	}
	m.mu.Unlock()
	if changed {
		m.sendHeartbeats()
	}
}

// tick does the work of one heartbeat interval: it sends heartbeats, marks silent peers
// as gone and opens and closes connections. count is the number of ticks before.
func (m *Mesh) tick(count int) {
	m.mu.Lock()
	if count%refreshHeartbeats == 0 && m.hasUnconnectedPeer() {
		m.self.version++
	}
	m.extendAfterPause()
	lost := m.expireSilent()
	m.mu.Unlock()
	m.sendHeartbeats()
	m.notifyWatchers(lost)
	m.maintainConnections()
}

// sendHeartbeats sends each connected peer the state of this entry and the states of other
// entries that the peer does not have yet.
func (m *Mesh) sendHeartbeats() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.openLinks {
		l.send(kindHeartbeat, frame{Kind: kindHeartbeat, States: m.unsentStates(l)})
	}
}

func (m *Mesh) notifyWatchers(changed []Peer) {
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
		m.opts.Log.WithError(err).Debug("peer: could not read the list of entries")
		return
	}
	m.mu.Lock()
	m.listedSeeds = list
	m.mu.Unlock()
}

func (m *Mesh) allOpenLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.openLinks))
	for l := range m.openLinks {
		links = append(links, l)
	}
	return links
}

// jitter returns a random duration between 90% and 100% of d.
func jitter(d clock.Millis) clock.Millis { return d - rand.N(d/10+1) }
