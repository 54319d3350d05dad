package config_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/peer"
)

// fakeMesh connects the fake peers in memory.
type fakeMesh struct {
	mu    sync.Mutex
	peers map[string]*fakePeer
}

// fakePeer is the mesh interface of one entry. While it is disconnected, it neither receives
// nor sends anything.
type fakePeer struct {
	mesh         *fakeMesh
	name         string
	revision     uint64
	disconnected bool
	handlers     map[string]peer.Handler
	watchers     []func(peer.Peer)
}

func (m *fakeMesh) add(name string) *fakePeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &fakePeer{mesh: m, name: name, handlers: make(map[string]peer.Handler)}
	m.peers[name] = p
	return p
}

func (p *fakePeer) setDisconnected(disconnected bool) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.disconnected = disconnected
}

func (p *fakePeer) Peers() []peer.Peer {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	var list []peer.Peer
	for _, other := range p.mesh.peers {
		if other != p && !other.disconnected && !p.disconnected {
			list = append(list, peer.Peer{Name: other.name, Revision: other.revision})
		}
	}
	return list
}

func (p *fakePeer) Call(ctx context.Context, name, method string, in []byte) ([]byte, error) {
	p.mesh.mu.Lock()
	target := p.mesh.peers[name]
	unreachable := target.disconnected || p.disconnected
	f := target.handlers[method]
	p.mesh.mu.Unlock()
	if unreachable {
		return nil, peer.ErrConnectionLost
	}
	return f(ctx, p.name, in)
}

func (p *fakePeer) Handle(method string, f peer.Handler) { p.handlers[method] = f }

func (p *fakePeer) Watch(f func(peer.Peer)) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.watchers = append(p.watchers, f)
}

func (p *fakePeer) AnnounceRevision(revision uint64) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.revision = revision
	for _, other := range p.mesh.peers {
		if other == p || other.disconnected || p.disconnected {
			continue
		}
		for _, f := range other.watchers {
			f(peer.Peer{Name: p.name, Revision: revision})
		}
	}
}

// cluster is a stand-in store with entries. Each entry has a holder and a fake peer. Requests
// to the server are served by activeStore, which a test may replace.
type cluster struct {
	store       *consultest.Server
	activeStore atomic.Pointer[consultest.Server]
	server      *httptest.Server
	mesh        *fakeMesh
	clock       *clock.Clock
	holders     []*config.Holder
	peers       []*fakePeer
}

func newCluster(entries int) *cluster {
	store := consultest.New(consultest.Options{})
	c := &cluster{store: store, clock: clock.NewManual(0), mesh: &fakeMesh{peers: make(map[string]*fakePeer)}}
	c.activeStore.Store(store)
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.activeStore.Load().ServeHTTP(w, r)
	}))
	DeferCleanup(c.server.Close)
	for range entries {
		c.startHolder(c.server.URL, 0)
	}
	return c
}

// startHolder starts an entry with a client of the store at the address. The timeout of its
// calls is in milliseconds; 0 means the default.
func (c *cluster) startHolder(address string, timeout clock.Millis) *config.Holder {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	member := c.mesh.add(fmt.Sprint("e", len(c.peers)))
	h := config.New(config.Options{
		Store: consul.New(consul.Config{Address: address, Timeout: timeout}),
		Peers: member, Clock: c.clock, Log: logrus.NewEntry(log),
	})
	DeferCleanup(func() { _ = h.Stop(context.Background()) })
	c.peers, c.holders = append(c.peers, member), append(c.holders, h)
	return h
}

// textOf returns a text with the given firm, by which the tests distinguish texts.
func textOf(firm any) []byte { return fmt.Appendf(nil, "firm: %v\n", firm) }
