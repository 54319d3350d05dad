package controller_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform"
)

// hooks injects faults between a controller and its store and workers.
type hooks struct {
	*platform.Store
	*platform.WorkerClient

	mu sync.Mutex
	// listDelay is the delay before each list of the jobs' keys.
	listDelay time.Duration
	// refusedWorkers holds the IDs of the workers to which calls are refused.
	refusedWorkers map[string]bool
	// unhealthyWorkers holds the IDs of the workers that reject each order as unhealthy.
	unhealthyWorkers map[string]bool
	// fullWorkers holds the IDs of the workers that reject each order for lack of room.
	fullWorkers map[string]bool
	// misdirectedWorkers holds the IDs of the workers at whose address another instance answers.
	misdirectedWorkers map[string]bool
	// unreachableWorkers holds the IDs of the workers to which no connection is opened.
	unreachableWorkers map[string]bool
	// unsendableWorkers holds the IDs of the workers to which orders can't be sent, for want of a connection.
	unsendableWorkers map[string]bool
	// loseNextAnswer discards the worker's answer to the next Start and then refuses all calls
	// to this worker.
	loseNextAnswer bool
	// loseNextWrite discards the store's answer to the controller's next write. readDelay is the
	// delay before each read of a single key.
	loseNextWrite bool
	readDelay     time.Duration
	// beforeCommit is called before each write, and afterCommit after each that has succeeded, which then
	// has the outcome that it returns; nil calls nothing.
	beforeCommit func(ops []kv.Op)
	afterCommit  func(ops []kv.Op) error
	// rejectedKey is the key of which the store accepts no write; "" if there is none.
	rejectedKey string
	// resumesAt is the time until which the instance is suspended.
	resumesAt time.Time
	// refuseRenewals makes all polls fail. orderAnswered delays these failures until it is closed, when
	// a worker has answered an order; nil delays nothing.
	refuseRenewals bool
	orderAnswered  chan struct{}
	// stopsInFlight is the number of stops that have no answer yet, and mostStops the largest number so far.
	stopsInFlight, mostStops int
	// stopAnswerDelay delays the answer to each stop.
	stopAnswerDelay time.Duration
	// loseStops leaves all stops without an answer.
	loseStops bool
	// commitAnswerDelay delays the answers to writes, as if the instance were suspended before it
	// handles them.
	commitAnswerDelay time.Duration
}

// set changes the faults.
func (h *hooks) set(change func(*hooks)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

func (h *hooks) Get(ctx context.Context, key string) (kv.Entry, error) {
	h.mu.Lock()
	delay := h.readDelay
	h.mu.Unlock()
	time.Sleep(delay)
	return h.Store.Get(ctx, key)
}

func (h *hooks) Commit(ctx context.Context, ops []kv.Op) (uint64, error) {
	h.mu.Lock()
	delay, before, after, rejected := h.commitAnswerDelay, h.beforeCommit, h.afterCommit, h.rejectedKey
	h.mu.Unlock()
	if slices.ContainsFunc(ops, func(o kv.Op) bool { return o.Key == rejected }) {
		return 0, &kv.Error{Op: "commit", Key: rejected, Kind: kv.Rejected, Err: errRejected}
	}
	if before != nil {
		before(ops)
	}
	version, err := h.Store.Commit(ctx, ops)
	if err == nil && after != nil {
		err = after(ops)
	}
	time.Sleep(delay)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loseNextWrite {
		h.loseNextWrite = false
		return 0, &kv.Error{Op: "commit", Kind: kv.Ambiguous, Err: errAnswerLost}
	}
	return version, err
}

func (h *hooks) ListPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	h.mu.Lock()
	delay := h.listDelay
	h.mu.Unlock()
	if prefix == board.Prefix {
		time.Sleep(delay)
	}
	return h.Store.ListPage(ctx, prefix, after)
}

// mark adds a worker to one of the sets, or removes it.
func (h *hooks) mark(set map[string]bool, id string, member bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set[id] = member
}

// isMarked reports whether a worker is in one of the sets.
func (h *hooks) isMarked(set map[string]bool, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return set[id]
}

func (h *hooks) setRefused(id string, refused bool) { h.mark(h.refusedWorkers, id, refused) }

func (h *hooks) isRefused(id string) bool { return h.isMarked(h.refusedWorkers, id) }

func (h *hooks) setFull(id string, full bool) { h.mark(h.fullWorkers, id, full) }

func (h *hooks) isFull(id string) bool { return h.isMarked(h.fullWorkers, id) }

func (h *hooks) setMisdirected(id string) { h.misdirect(id, true) }

// misdirect sets whether another instance answers at a worker's address.
func (h *hooks) misdirect(id string, misdirected bool) { h.mark(h.misdirectedWorkers, id, misdirected) }

func (h *hooks) isMisdirected(id string) bool { return h.isMarked(h.misdirectedWorkers, id) }

func (h *hooks) Start(ctx context.Context, w agent.Worker, o agent.Order) (agent.Verdict, clock.Millis, error) {
	if h.isMisdirected(w.ID) {
		return "", 0, agent.ErrReplaced
	}
	if h.isMarked(h.unreachableWorkers, w.ID) || h.isMarked(h.unsendableWorkers, w.ID) {
		<-ctx.Done()
		return "", 0, agent.ErrNotSent
	}
	if h.isRefused(w.ID) {
		return "", 0, agent.ErrAbsent
	}
	if h.unhealthyWorkers[w.ID] {
		return agent.Unhealthy, 0, nil
	}
	if h.isFull(w.ID) {
		return agent.Full, 0, nil
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	verdict, workerClock, err := h.WorkerClient.Start(ctx, w, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderAnswered != nil {
		close(h.orderAnswered)
		h.orderAnswered = nil
	}
	if h.loseNextAnswer {
		h.loseNextAnswer, h.refusedWorkers[w.ID] = false, true
		return "", 0, errAnswerLost
	}
	return verdict, workerClock, err
}

// errAnswerLost is the error of a call whose answer is lost.
var (
	errAnswerLost = errors.New("answer lost")
	errRejected   = errors.New("the value is not accepted")
)

// refuseRenewalsAfterOrder makes all polls fail, but none before a worker has answered the next order:
// a worker that has refused a poll gets no order.
func (h *hooks) refuseRenewalsAfterOrder() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuseRenewals, h.orderAnswered = true, make(chan struct{})
}

func (h *hooks) setUnsendable(id string, unsendable bool) {
	h.mark(h.unsendableWorkers, id, unsendable)
}

func (h *hooks) setUnreachable(id string, unreachable bool) {
	h.mark(h.unreachableWorkers, id, unreachable)
}

func (h *hooks) Renew(ctx context.Context, w agent.Worker, r agent.Renewal) (agent.Report, error) {
	if h.isMarked(h.unreachableWorkers, w.ID) {
		<-ctx.Done()
		return agent.Report{}, agent.ErrNotSent
	}
	if h.isMisdirected(w.ID) {
		return agent.Report{}, agent.ErrReplaced
	}
	h.mu.Lock()
	refuse, orderAnswered := h.refuseRenewals, h.orderAnswered
	h.mu.Unlock()
	if refuse && orderAnswered != nil {
		select {
		case <-orderAnswered:
		case <-ctx.Done():
		}
	}
	if refuse || h.isRefused(w.ID) {
		return agent.Report{}, agent.ErrAbsent
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	return h.WorkerClient.Renew(ctx, w, r)
}

func (h *hooks) Stop(ctx context.Context, w agent.Worker, task agent.Task, run int, fence uint64) error {
	h.set(func(h *hooks) {
		h.stopsInFlight++
		h.mostStops = max(h.mostStops, h.stopsInFlight)
	})
	defer h.set(func(h *hooks) { h.stopsInFlight-- })
	if h.isMisdirected(w.ID) {
		return agent.ErrReplaced
	}
	h.mu.Lock()
	lose, answerDelay := h.loseStops, h.stopAnswerDelay
	h.mu.Unlock()
	if lose {
		<-ctx.Done()
		return errAnswerLost
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	err := h.WorkerClient.Stop(ctx, w, task, run, fence)
	time.Sleep(answerDelay)
	return err
}

// suspend suspends the instance where it has just checked that it leads and is about to act on
// that, or is about to send a call to a worker.
func (h *hooks) suspend(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumesAt = time.Now().Add(d)
}

// awaitResumption waits while the instance is suspended. A call that waited is sent although its
// time has run out, since its timer runs late as well.
func (h *hooks) awaitResumption(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	wait := time.Until(h.resumesAt)
	h.mu.Unlock()
	if wait <= 0 {
		return ctx, func() {}
	}
	time.Sleep(wait)
	return context.WithTimeout(context.WithoutCancel(ctx), shortTimeout)
}
