// Package witness keeps the ends of jobs while the store can't record them. The leader tells the other
// instances of an end, and they hold it in memory. A leader that is elected later among them takes the
// ends over, so the work of a finished job is not done again even if its worker is gone by then.
//
// Callers are told of an end only when the store has recorded it. Held ends are lost if the instances
// that hold them are restarted, all of them perhaps within one outage of the store.
//
// An instance that reaches the store refuses to hold an end: the store can record it, perhaps by
// another leader that was elected without this one knowing.
//
// # Usage
//
//	w := witness.New(witness.Options{Board: b, Others: roster.Others, Domain: "a", Reachable: health.OK, Client: client, Log: log})
//	mux.Handle(witness.Path, w)
//	w.Share(term, ends) // by the leader, as long as the ends are not recorded
package witness

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/roster"
	"github.com/chestnutsail/chestnutsail/workflow"
)

const (
	// callTimeout is the timeout of a call to another instance. retryDelay is the pause after an
	// attempt in which ends were not held by every failure domain.
	callTimeout = 250 * clock.Millisecond
	retryDelay  = 250 * clock.Millisecond
	// maxBatch is the largest number of ends in one call.
	maxBatch = 64
	// maxBatchBytes is the size in bytes of the ends to which no further one is added. With one more of the largest
	// size, a call is still smaller than maxMessage.
	maxBatchBytes = maxMessage / 4
)

// Outcome is the result of an attempt to share ends.
type Outcome string

// The outcomes of an attempt.
const (
	// Held means that an instance of each failure domain holds the ends.
	Held Outcome = "held"
	// Refused means that an instance reaches the store or knows of a later leader.
	Refused Outcome = "refused"
	// Unheld means that no instance of some failure domain, or no other instance at all, holds
	// the ends.
	Unheld Outcome = "unheld"
)

// Options configures a Witness. All fields but OnOutcome are required.
type Options struct {
	Board *board.Board
	// Others returns the other instances. Domain is the failure domain of this one.
	Others func() []roster.Instance
	Domain string
	// Reachable reports whether the store is reachable.
	Reachable func() bool
	// Client makes the calls. Its time to open a connection should be short.
	Client *http.Client
	// OnOutcome is called with the outcome of each attempt; nil means that nothing is called.
	OnOutcome func(o Outcome)
	Log       *logrus.Entry
}

// Witness tells other instances of ends, and holds those that they tell. It is safe for concurrent
// use.
type Witness struct {
	opts Options
	// sharing is set while ends are being shared. Whoever has set it may use shared, the IDs of the
	// jobs whose ends are held by every failure domain, and last, the outcome of the last attempt.
	sharing atomic.Bool
	shared  map[string]bool
	last    Outcome
}

// New returns a witness.
func New(opts Options) *Witness {
	if opts.OnOutcome == nil {
		opts.OnOutcome = func(Outcome) {}
	}
	return &Witness{opts: opts, shared: make(map[string]bool)}
}

// Share lets other instances hold ends that the leader of a term can't record. The ends are all those
// that are not recorded. It returns at once and does nothing while the store is reachable or an earlier
// call is in progress, so the leader calls it again as long as ends are not recorded.
func (w *Witness) Share(term uint64, ends []board.End) {
	if w.opts.Reachable() || !w.sharing.CompareAndSwap(false, true) {
		return
	}
	ends = w.unshared(ends)
	if len(ends) == 0 {
		w.sharing.Store(false)
		return
	}
	go func() {
		defer w.sharing.Store(false)
		ctx := context.Background()
		outcome := w.share(ctx, term, ends)
		w.opts.OnOutcome(outcome)
		if outcome != w.last {
			w.opts.Log.WithFields(logrus.Fields{"ends": len(ends), "term": term, "outcome": string(outcome)}).Info("witness: ends shared without the store")
		}
		w.last = outcome
		if outcome != Held {
			clock.Sleep(ctx, retryDelay)
		}
	}()
}

// unshared returns ends that are neither shared nor recorded, at most maxBatch and about maxBatchBytes, and forgets
// the shared ends that are not in the list any more.
func (w *Witness) unshared(ends []board.End) []board.End {
	shared := make(map[string]bool, len(w.shared))
	var unshared []board.End
	bytes := 0
	for _, e := range ends {
		if w.shared[e.Job] {
			shared[e.Job] = true
			continue
		}
		if view, ok := w.opts.Board.Find(e.Job); !ok || view.Progress.State.Final() || len(unshared) == maxBatch {
			continue
		}
		size := len(workflow.Encode(e.Progress))
		if len(unshared) > 0 && bytes+size > maxBatchBytes {
			continue
		}
		bytes += size
		unshared = append(unshared, e)
	}
	w.shared = shared
	return unshared
}

// share asks all other instances to hold the ends.
func (w *Witness) share(ctx context.Context, term uint64, ends []board.End) Outcome {
	w.hold(term, ends)
	others := w.opts.Others()
	heldIn := map[string]bool{w.opts.Domain: true}
	holders := 0
	for instance, a := range w.send(ctx, others, newMessage(term, ends)) {
		switch a {
		case refuses:
			return Refused
		case holds:
			heldIn[instance.Domain] = true
			holders++
		}
	}
	for _, o := range others {
		if !heldIn[o.Domain] {
			return Unheld
		}
	}
	if holders == 0 {
		return Unheld
	}
	for _, e := range ends {
		w.shared[e.Job] = true
	}
	return Held
}

// hold holds ends at this instance and logs those that are new.
func (w *Witness) hold(term uint64, ends []board.End) {
	for _, e := range w.opts.Board.Hold(ends...) {
		w.opts.Log.WithFields(logrus.Fields{"job": e.Job, "state": string(e.Progress.State), "term": term}).Info("witness: holding an end that is not recorded")
	}
}

// answer is what became of a message to one instance.
type answer int

const (
	silent answer = iota
	holds
	refuses
)

// send sends a message to instances at the same time and returns their answers.
func (w *Witness) send(ctx context.Context, to []roster.Instance, m message) map[roster.Instance]answer {
	body := workflow.Encode(m)
	answers := make(map[roster.Instance]answer, len(to))
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, instance := range to {
		running.Go(func() {
			a, err := w.post(ctx, instance.Address, body)
			if err != nil {
				w.opts.Log.WithError(err).WithField("peer", instance.Address).Debug("witness: instance did not answer")
			}
			mu.Lock()
			defer mu.Unlock()
			answers[instance] = a
		})
	}
	running.Wait()
	return answers
}

func (w *Witness) post(ctx context.Context, address string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return silent, err
	}
	resp, err := w.opts.Client.Do(req)
	if err != nil {
		return silent, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return holds, nil
	case http.StatusConflict:
		return refuses, nil
	}
	return silent, fmt.Errorf("witness: status %d", resp.StatusCode)
}
