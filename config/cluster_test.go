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

// fakeMesh is a mesh of entries in memory.
type fakeMesh struct {
	mu    sync.Mutex
	peers map[string]*fakePeer
}

// fakePeer is the place of one entry. A cut seat hears and tells nothing.
type fakePeer struct {
	mesh         *fakeMesh
	name         string
	revision     uint64
	disconnected bool
	handlers     map[string]peer.Handler
	watchers     []func(peer.Peer)
}

func (r *fakeMesh) add(name string) *fakePeer {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &fakePeer{mesh: r, name: name, handlers: make(map[string]peer.Handler)}
	r.peers[name] = s
	return s
}

func (s *fakePeer) setDisconnected(disconnected bool) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.disconnected = disconnected
}

func (s *fakePeer) Peers() []peer.Peer {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	var list []peer.Peer
	for _, other := range s.mesh.peers {
		if other != s && !other.disconnected && !s.disconnected {
			list = append(list, peer.Peer{Name: other.name, Revision: other.revision})
		}
	}
	return list
}

func (s *fakePeer) Call(ctx context.Context, name, method string, in []byte) ([]byte, error) {
	s.mesh.mu.Lock()
	target := s.mesh.peers[name]
	unreachable := target.disconnected || s.disconnected
	f := target.handlers[method]
	s.mesh.mu.Unlock()
	if unreachable {
		return nil, peer.ErrLost
	}
	return f(ctx, s.name, in)
}

func (s *fakePeer) Handle(method string, f peer.Handler) { s.handlers[method] = f }

func (s *fakePeer) Watch(f func(peer.Peer)) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

func (s *fakePeer) AnnounceRevision(revision uint64) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	s.revision = revision
	for _, other := range s.mesh.peers {
		if other == s || other.disconnected || s.disconnected {
			continue
		}
		for _, f := range other.watchers {
			f(peer.Peer{Name: s.name, Revision: revision})
		}
	}
}

// cluster is a store, a room of entries and their holders.
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
	s := &cluster{store: store, clock: clock.NewManual(0), mesh: &fakeMesh{peers: make(map[string]*fakePeer)}}
	s.activeStore.Store(store)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.activeStore.Load().ServeHTTP(w, r)
	}))
	DeferCleanup(s.server.Close)
	for range entries {
		s.startHolder(s.server.URL, 0)
	}
	return s
}

// startHolder starts an entry that reaches a store at the address.
func (s *cluster) startHolder(address string, timeout clock.Millis) *config.Holder {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	member := s.mesh.add(fmt.Sprint("e", len(s.peers)))
	h := config.New(config.Options{
		Store: consul.New(consul.Config{Address: address, Timeout: timeout}),
		Peers: member, Clock: s.clock, Log: logrus.NewEntry(log),
	})
	DeferCleanup(func() { _ = h.Stop(context.Background()) })
	s.peers, s.holders = append(s.peers, member), append(s.holders, h)
	return h
}

// textOf returns a text that names its writer.
func textOf(firm any) []byte { return fmt.Appendf(nil, "firm: %v\n", firm) }
