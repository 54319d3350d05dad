package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/renewer"
)

// Methods of the calls between instances.
const (
	methodHint   = "jobs.hint"
	methodEvent  = "jobs.event"
	methodNotice = "jobs.notice"
	methodStatus = "jobs.status"
	methodTrace  = "jobs.trace"
)

const peerCallTimeout = 2 * clock.Second

// Peer is another live instance.
type Peer struct {
	Name    string
	Domain  string
	Leaving bool
	// Leads reports whether the instance schedules its domain, under Term.
	Leads bool
	Term  int64
}

// Mesh connects this instance to the other instances. Peers returns the other live
// instances of all domains. Call calls a method of the named instance and returns the
// response. Handle registers the handler for incoming calls of a method.
type Mesh interface {
	Peers() []Peer
	Call(ctx context.Context, name, method string, in []byte) ([]byte, error)
	Handle(method string, f func(ctx context.Context, from string, in []byte) ([]byte, error))
}

// peerHistory records when each other instance of the domain was last live.
type peerHistory struct {
	mu       sync.Mutex
	lastSeen map[string]clock.Millis
}

// registerHandlers registers the handlers for calls from other instances. Requests are CBOR
// values.
func (d *Dispatcher) registerHandlers() {
	if d.opts.Mesh == nil {
		return
	}
	handle(d, methodHint, func(ctx context.Context, e ledger.Entry) error { return d.handleHint(ctx, e) })
	handle(d, methodEvent, d.handleEvent)
	handle(d, methodNotice, func(_ context.Context, n renewer.Notice) error {
		d.handleNotice(n)
		return nil
	})
	d.opts.Mesh.Handle(methodStatus, func(context.Context, string, []byte) ([]byte, error) { return d.status() })
	d.opts.Mesh.Handle(methodTrace, func(context.Context, string, []byte) ([]byte, error) { return d.trace() })
}

func handle[In any](d *Dispatcher, method string, f func(context.Context, In) error) {
	d.opts.Mesh.Handle(method, func(ctx context.Context, _ string, raw []byte) ([]byte, error) {
		var in In
		if err := cbor.Unmarshal(raw, &in); err != nil {
			return nil, err
		}
		return nil, f(ctx, in)
	})
}

// callPeer calls a method of another instance with a timeout of peerCallTimeout.
func (d *Dispatcher) callPeer(ctx context.Context, name, method string, in any) error {
	raw, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	_, err = d.opts.Mesh.Call(ctx, name, method, raw)
	return err
}

// Peers returns the other live instances of the domain.
func (d *Dispatcher) Peers() []Peer {
	if d.opts.Mesh == nil {
		return nil
	}
	var peers []Peer
	for _, p := range d.opts.Mesh.Peers() {
		if p.Domain == d.opts.Domain {
			peers = append(peers, p)
		}
	}
	d.knownPeers.mu.Lock()
	defer d.knownPeers.mu.Unlock()
	for _, p := range peers {
		d.knownPeers.lastSeen[p.Name] = d.opts.Clock.Now()
	}
	return peers
}

// hasMissingPeer reports whether an instance that was live within the orphan timeout is
// not among livePeers. That instance may still renew the leases of gangs.
func (d *Dispatcher) hasMissingPeer(livePeers []Peer) bool {
	now := d.opts.Clock.Now()
	d.knownPeers.mu.Lock()
	defer d.knownPeers.mu.Unlock()
	isLive := make(map[string]bool)
	for _, p := range livePeers {
		isLive[p.Name] = true
	}
	for name, at := range d.knownPeers.lastSeen {
		if now-at > d.opts.OrphanTimeout {
			delete(d.knownPeers.lastSeen, name)
		} else if !isLive[name] {
			return true
		}
	}
	return false
}

// leaderOf returns the name of the instance that schedules a domain under the highest
// known term, or "" when no leader is known.
func (d *Dispatcher) leaderOf(domain string) string {
	var name string
	var highest int64
	if domain == d.opts.Domain {
		state := d.opts.Election.Now()
		name, highest = state.Holder, state.Term
	}
	if d.opts.Mesh == nil {
		return name
	}
	for _, p := range d.opts.Mesh.Peers() {
		if p.Domain == domain && p.Leads && p.Term > highest {
			name, highest = p.Name, p.Term
		}
	}
	return name
}

// Hint notifies the scheduler of a domain that a record was written. It does not block.
// The job of a lost hint is found by the next listing.
func (d *Dispatcher) Hint(domain string, e ledger.Entry) {
	select {
	case d.hints <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.hints }()
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout.Duration())
		defer cancel()
		if err := d.sendToLeader(ctx, domain, methodHint, e, func() error { return d.handleHint(ctx, e) }); err != nil {
			d.opts.Log.WithError(err).Debug("dispatch: hint not delivered")
			d.notify(domain)
		}
	}()
}

// notify notifies the scheduler of a domain through the store, at most once per
// notifyPeriod. The first call within the period waits until the period ends; further
// calls return at once, because the waiting call covers them.
func (d *Dispatcher) notify(domain string) {
	now, last := int64(d.opts.Clock.Now()), d.lastNotify.Load()
	if last > now || !d.lastNotify.CompareAndSwap(last, max(now, last+int64(notifyPeriod))) {
		return
	}
	time.Sleep(clock.Millis(max(last+int64(notifyPeriod)-now, 0)).Duration())
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout.Duration())
	defer cancel()
	if err := d.opts.Ledger.Notify(ctx, domain); err != nil {
		d.opts.Log.WithError(err).Debug("dispatch: scheduler not notified")
	}
}

// sendToLeader sends a message to the scheduler of a domain. When this instance is the
// scheduler, it calls handleLocally instead. It returns ErrNotLeading when no scheduler
// is known.
func (d *Dispatcher) sendToLeader(ctx context.Context, domain, method string, message any, handleLocally func() error) error {
	name := d.leaderOf(domain)
	switch {
	case name == d.opts.Name:
		return handleLocally()
	case name == "" || d.opts.Mesh == nil:
		return ErrNotLeading
	}
	err := d.callPeer(ctx, name, method, message)
	if err != nil {
		d.opts.Counters.Retried(outcome.RetryPeerLost)
	}
	return err
}

// Deliver sends the result of a renewal to the scheduler of the domain.
func (d *Dispatcher) Deliver(ctx context.Context, e renewer.Event) error {
	return d.sendToLeader(ctx, d.opts.Domain, methodEvent, e, func() error { return d.handleEvent(ctx, e) })
}

// Broadcast sends a notice to every live instance of the domain, including this one.
func (d *Dispatcher) Broadcast(ctx context.Context, n renewer.Notice) { d.broadcast(ctx, n) }

// broadcast sends a notice to every live instance of the domain, and reports whether
// every instance that may be renewing the leases of gangs has acknowledged it.
func (d *Dispatcher) broadcast(ctx context.Context, n renewer.Notice) bool {
	d.handleNotice(n)
	livePeers := d.Peers()
	acknowledged := !d.hasMissingPeer(livePeers)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range livePeers {
		calls.Go(func() {
			if err := d.callPeer(ctx, p.Name, methodNotice, n); err != nil {
				mu.Lock()
				defer mu.Unlock()
				acknowledged = false
			}
		})
	}
	calls.Wait()
	return acknowledged
}

// OnNotice sets the function that handles the notices this instance receives.
func (d *Dispatcher) OnNotice(f func(renewer.Notice)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onNotice = f
}

func (d *Dispatcher) handleNotice(n renewer.Notice) {
	d.mu.Lock()
	onNotice := d.onNotice
	d.mu.Unlock()
	onNotice(n)
}

func (d *Dispatcher) handleHint(ctx context.Context, e ledger.Entry) error {
	s := d.currentSession()
	if s == nil {
		return ErrNotLeading
	}
	return s.post(ctx, func() { s.applyHint(e) })
}

// handleEvent passes the result of a renewal to the current session. It returns
// ErrNotLeading for an event of a newer term than the session's, because that event
// belongs to another scheduler.
func (d *Dispatcher) handleEvent(ctx context.Context, e renewer.Event) error {
	s := d.currentSession()
	if s == nil || s.term < e.Term {
		return ErrNotLeading
	}
	return s.post(ctx, func() { s.handleRenewal(e) })
}
