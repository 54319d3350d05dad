// Package witness makes the ends of jobs known while the store can't record them. The leader tells
// other instances of an end. Once an instance of each failure domain holds it, callers are told. A
// leader that is elected later among these instances takes the ends over, so a job that callers
// have been told is over is not run again, even if its worker is gone by then.
//
// An instance that reaches the store refuses to hold an end: the store can record it, perhaps by
// another leader that was elected without this one knowing. So nothing is told that another leader
// may know better.
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
	"math/rand/v2"
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
	// holdersPerDomain is the number of instances of a failure domain that are asked to hold an
	// end. One has to; the second one takes its place if it has just failed.
	holdersPerDomain = 2
	// callTimeout is the timeout of a call to another instance.
	callTimeout = 250 * clock.Millisecond
	// maxBatch is the largest number of ends in one call.
	maxBatch = 64
)

// Outcome is the result of an attempt to make ends known.
type Outcome string

// The outcomes of an attempt.
const (
	// Told means that callers are told of the ends.
	Told Outcome = "told"
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
	// sharing is set while ends are being shared. Whoever has set it may use last, the outcome of
	// the last attempt.
	sharing atomic.Bool
	last    Outcome
}

// New returns a witness.
func New(opts Options) *Witness {
	if opts.OnOutcome == nil {
		opts.OnOutcome = func(Outcome) {}
	}
	return &Witness{opts: opts}
}

// Share makes ends known that the leader of a term can't record. It returns at once and does
// nothing while the store is reachable or an earlier call is in progress, so the leader calls it
// again as long as ends are not recorded.
func (w *Witness) Share(term uint64, ends []board.End) {
	if w.opts.Reachable() {
		return
	}
	ends = w.untold(ends)
	if len(ends) == 0 || !w.sharing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.sharing.Store(false)
		outcome := w.share(context.Background(), term, ends)
		w.opts.OnOutcome(outcome)
		if outcome != w.last {
			w.opts.Log.WithFields(logrus.Fields{"ends": len(ends), "term": term, "outcome": string(outcome)}).Info("witness: ends shared without the store")
		}
		w.last = outcome
	}()
}

// untold returns the first maxBatch ends that callers are not told of yet.
func (w *Witness) untold(ends []board.End) []board.End {
	var untold []board.End
	for _, e := range ends {
		if view, ok := w.opts.Board.Find(e.Job); ok && !view.Progress.State.Final() && !view.Shown && len(untold) < maxBatch {
			untold = append(untold, e)
		}
	}
	return untold
}

// share lets an instance of each failure domain hold the ends, and then lets all tell callers.
func (w *Witness) share(ctx context.Context, term uint64, ends []board.End) Outcome {
	w.opts.Board.Hold(false, ends...)
	others := w.opts.Others()
	answers := w.send(ctx, chooseHolders(others), newMessage(term, false, ends))
	heldIn := map[string]bool{w.opts.Domain: true}
	holders := 0
	for instance, a := range answers {
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
	w.logShown(term, w.opts.Board.Hold(true, ends...))
	w.send(ctx, others, newMessage(term, true, ends))
	return Told
}

func (w *Witness) logShown(term uint64, ends []board.End) {
	for _, e := range ends {
		w.opts.Log.WithFields(logrus.Fields{"job": e.Job, "state": string(e.Progress.State), "term": term}).Info("witness: callers are told of an end that is not recorded")
	}
}

// chooseHolders returns holdersPerDomain random instances of each failure domain.
func chooseHolders(others []roster.Instance) []roster.Instance {
	var chosen []roster.Instance
	count := make(map[string]int)
	for _, i := range rand.Perm(len(others)) {
		if domain := others[i].Domain; count[domain] < holdersPerDomain {
			count[domain]++
			chosen = append(chosen, others[i])
		}
	}
	return chosen
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
