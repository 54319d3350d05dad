package entry

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/dispatch"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/term"
	"github.com/chestnutsail/chestnutsail/token"
)

// announceInterval is the longest time in milliseconds between two announcements of this
// entry's leadership to the mesh. A change of the term or its holder is announced at once.
const announceInterval = 500 * clock.Millisecond

// meshDependencies are the services that the mesh needs.
type meshDependencies struct {
	store    *consul.Client
	tokens   *token.Secrets
	counters *counters.Counters
	clock    *clock.Clock
}

// newMesh creates this entry's connections to the other entries.
func (e *Entry) newMesh(deps meshDependencies) *peer.Mesh {
	s := e.opts.Settings
	return peer.New(peer.Options{
		Name: s.Name, Domain: s.Domain, Address: e.advertisedAddress(), Seeds: s.Peers,
		List: func(ctx context.Context) ([]peer.Seed, error) {
			list, err := deps.store.Instances(ctx, consul.RoleEntry)
			seeds := make([]peer.Seed, len(list))
			for i, v := range list {
				seeds[i] = peer.Seed{Name: v.Name, Address: v.Address}
			}
			return seeds, err
		},
		Tokens: deps.tokens, Counters: deps.counters, Clock: deps.clock, Log: e.log,
	})
}

// registration returns the row of this entry in the platform's list of instances.
func (e *Entry) registration() consul.Instance {
	s := e.opts.Settings
	return consul.Instance{Name: s.Name, Address: e.advertisedAddress(), Domain: s.Domain}
}

// advertisedAddress returns the address under which other entries reach this one. Port 0
// in the settings, which lets the operating system choose, is replaced by the chosen port.
func (e *Entry) advertisedAddress() string {
	s := e.opts.Settings
	address := s.Advertise
	if address == "" {
		address = s.Listen
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, port, _ = net.SplitHostPort(e.Address())
	return net.JoinHostPort(host, port)
}

// liveEntries returns a function that reports the number of live entries of a failure
// domain, this entry included.
func liveEntries(mesh *peer.Mesh, domain string) func() int {
	var count atomic.Int64
	update := func(peer.Peer) {
		n := int64(1)
		for _, p := range mesh.Peers() {
			if p.Domain == domain {
				n++
			}
		}
		count.Store(n)
	}
	update(peer.Peer{})
	mesh.Watch(update)
	return func() int { return int(count.Load()) }
}

// dispatchMesh adapts the mesh to the interface that package dispatch uses.
type dispatchMesh struct{ *peer.Mesh }

// Peers returns the other live entries.
func (m dispatchMesh) Peers() []dispatch.Peer {
	peers := m.Mesh.Peers()
	list := make([]dispatch.Peer, len(peers))
	for i, p := range peers {
		list[i] = dispatch.Peer{Name: p.Name, Domain: p.Domain, Leaving: p.Leaving, Leads: p.Leads, Term: p.Term}
	}
	return list
}

// announcer announces to the mesh whether this entry leads its failure domain, and under
// which term, until Stop.
type announcer struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func newAnnouncer(election *term.Election, announce func(leads bool, term int64)) *announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for ctx.Err() == nil {
			changed := election.Changed()
			state := election.Now()
			announce(state.Leads, state.Term)
			waitCtx, cancelWait := context.WithTimeout(ctx, announceInterval.Duration())
			select {
			case <-changed:
			case <-waitCtx.Done():
			}
			cancelWait()
		}
	}()
	return a
}

// Stop ends the announcements. It returns nil.
func (a *announcer) Stop(context.Context) error {
	a.cancel()
	<-a.done
	return nil
}
