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

// Methods that entries call at each other.
const (
	methodHint   = "jobs.hint"
	methodEvent  = "jobs.event"
	methodNotice = "jobs.notice"
	methodStatus = "jobs.status"
	methodTrace  = "jobs.trace"
)

const callTime = 2 * clock.Second

// Peer is another live entry.
type Peer struct {
	Name    string
	Domain  string
	Leaving bool
	// Leads tells that the entry schedules its domain, under Term.
	Leads bool
	Term  int64
}

// Mesh reaches the other entries.
type Mesh interface {
	Peers() []Peer
	Call(ctx context.Context, name, method string, in []byte) ([]byte, error)
	Handle(method string, f func(ctx context.Context, from string, in []byte) ([]byte, error))
}

// entries remembers when each entry of the domain was last live.
type entries struct {
	mu   sync.Mutex
	seen map[string]clock.Millis
}

// listen answers the other entries.
func (d *Dispatcher) listen() {
	if d.opts.Mesh == nil {
		return
	}
	handle(d, methodHint, func(ctx context.Context, e ledger.Entry) error { return d.hinted(ctx, e) })
	handle(d, methodEvent, d.event)
	handle(d, methodNotice, func(_ context.Context, n renewer.Notice) error {
		d.notice(n)
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

// call calls another entry within callTime.
func (d *Dispatcher) call(ctx context.Context, name, method string, in any) error {
	raw, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime.Duration())
	defer cancel()
	_, err = d.opts.Mesh.Call(ctx, name, method, raw)
	return err
}

// Peers returns the live entries of the domain besides this one.
func (d *Dispatcher) Peers() []Peer {
	if d.opts.Mesh == nil {
		return nil
	}
	var own []Peer
	for _, p := range d.opts.Mesh.Peers() {
		if p.Domain == d.opts.Domain {
			own = append(own, p)
		}
	}
	d.known.mu.Lock()
	defer d.known.mu.Unlock()
	for _, p := range own {
		d.known.seen[p.Name] = d.opts.Clock.Now()
	}
	return own
}

// unheard reports whether an entry may be renewing gangs though it is not live here.
func (d *Dispatcher) unheard(live []Peer) bool {
	now := d.opts.Clock.Now()
	d.known.mu.Lock()
	defer d.known.mu.Unlock()
	alive := make(map[string]bool)
	for _, p := range live {
		alive[p.Name] = true
	}
	for name, at := range d.known.seen {
		if now-at > d.opts.Orphan {
			delete(d.known.seen, name)
		} else if !alive[name] {
			return true
		}
	}
	return false
}

// leader returns the name of the entry that schedules a domain under the highest term
// known, or "".
func (d *Dispatcher) leader(domain string) string {
	var name string
	var highest int64
	if domain == d.opts.Domain {
		now := d.opts.Election.Now()
		name, highest = now.Holder, now.Term
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

// Hint tells the scheduler of a domain that a record was written. It does not wait.
// A hint that is lost is made up for by the next listing.
func (d *Dispatcher) Hint(domain string, e ledger.Entry) {
	select {
	case d.hints <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.hints }()
		ctx, cancel := context.WithTimeout(context.Background(), callTime.Duration())
		defer cancel()
		if err := d.tell(ctx, domain, methodHint, e, func() error { return d.hinted(ctx, e) }); err != nil {
			d.opts.Log.WithError(err).Debug("dispatch: hint not delivered")
			d.notify(domain)
		}
	}()
}

// notify tells the scheduler of a domain through the store, at most once in a period.
// A notify within the period waits for its end and stands for those that follow.
func (d *Dispatcher) notify(domain string) {
	now, last := int64(d.opts.Clock.Now()), d.notified.Load()
	if last > now || !d.notified.CompareAndSwap(last, max(now, last+int64(notifyPeriod))) {
		return
	}
	time.Sleep(clock.Millis(max(last+int64(notifyPeriod)-now, 0)).Duration())
	ctx, cancel := context.WithTimeout(context.Background(), callTime.Duration())
	defer cancel()
	if err := d.opts.Ledger.Notify(ctx, domain); err != nil {
		d.opts.Log.WithError(err).Debug("dispatch: scheduler not notified")
	}
}

// tell brings a message to the scheduler of a domain, which may be this entry.
func (d *Dispatcher) tell(ctx context.Context, domain, method string, in any, own func() error) error {
	name := d.leader(domain)
	switch {
	case name == d.opts.Name:
		return own()
	case name == "" || d.opts.Mesh == nil:
		return ErrNotLeading
	}
	err := d.call(ctx, name, method, in)
	if err != nil {
		d.opts.Counters.Retried(outcome.RetryPeerLost)
	}
	return err
}

// Deliver brings what a renewal has shown to the scheduler of the domain.
func (d *Dispatcher) Deliver(ctx context.Context, e renewer.Event) error {
	return d.tell(ctx, d.opts.Domain, methodEvent, e, func() error { return d.event(ctx, e) })
}

// Spread brings a notice to every live entry of the domain.
func (d *Dispatcher) Spread(ctx context.Context, n renewer.Notice) { d.broadcast(ctx, n) }

// broadcast reports whether every entry that may renew gangs has taken the notice.
func (d *Dispatcher) broadcast(ctx context.Context, n renewer.Notice) bool {
	d.notice(n)
	live := d.Peers()
	all := !d.unheard(live)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range live {
		calls.Go(func() {
			if err := d.call(ctx, p.Name, methodNotice, n); err != nil {
				mu.Lock()
				defer mu.Unlock()
				all = false
			}
		})
	}
	calls.Wait()
	return all
}

// OnNotice sets what heeds the notices that arrive here.
func (d *Dispatcher) OnNotice(f func(renewer.Notice)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heed = f
}

func (d *Dispatcher) notice(n renewer.Notice) {
	d.mu.Lock()
	heed := d.heed
	d.mu.Unlock()
	heed(n)
}

func (d *Dispatcher) hinted(ctx context.Context, e ledger.Entry) error {
	s := d.leading()
	if s == nil {
		return ErrNotLeading
	}
	return s.post(ctx, func() { s.learn(e) })
}

// event takes in what a renewal has shown. One that was made under a newer term than
// the session's belongs to another scheduler.
func (d *Dispatcher) event(ctx context.Context, e renewer.Event) error {
	s := d.leading()
	if s == nil || s.term < e.Term {
		return ErrNotLeading
	}
	return s.post(ctx, func() { s.observe(e) })
}
