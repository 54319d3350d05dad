// Package worker is a client of the agent that the platform runs on each worker. The
// agent runs tasks under leases and alone decides about the capacity of its worker: it
// refuses a task that does not fit, and every call with a lower term or attempt than the
// highest one it has seen.
//
// # Usage
//
//	w := worker.New(worker.Config{Address: "10.0.0.7:9000"})
//	t, err := w.Run(ctx, worker.Task{ID: "kulhar/refund-1", Attempt: 1, Payload: p})
//	switch {
//	case worker.NotSent(err): // the task has not run; another worker may be tried
//	case err != nil:          // the task may have run; w.Task returns its state
//	case t.State == worker.Finished:
//	}
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// State is the state of a task on its worker.
type State string

// The states of a task on a worker.
const (
	Reserved  State = "reserved"
	Throttled State = "throttled"
	Running   State = "running"
	// Stopped means that the task was stopped on request. Its checkpoint is kept if it has one.
	Stopped State = "stopped"
	// LeaseExpired means that the worker stopped the task because its lease was not renewed in
	// time.
	LeaseExpired State = "lapsed"
	Finished     State = "finished"
	Failed       State = "failed"
)

// HoldsResources reports whether a task in this state occupies resources of the worker.
func (s State) HoldsResources() bool { return s == Reserved || s == Throttled || s == Running }

// Complete reports whether a task in this state has ended without being stopped.
func (s State) Complete() bool { return s == Finished || s == Failed }

// Refusal is the reason why a worker's agent refused a call.
type Refusal string

// The refusals.
const (
	Full      Refusal = "full"    // the free resources of the worker are too few for the task
	Fenced    Refusal = "fenced"  // the agent has seen a higher term or attempt
	Absent    Refusal = "absent"  // the worker has no such task or reservation
	Leaving   Refusal = "leaving" // the worker drains and takes no new tasks
	Malformed Refusal = "bad"     // the call is malformed
	// Replaced means that the call named the incarnation of an earlier process of the worker.
	Replaced Refusal = "replaced"
)

// Task is the work that one worker does for one job: a quick request, or all tasks of a gang
// that are placed on the worker. ID and Attempt identify it.
type Task struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	// Term is the term of the scheduler that placed the task; 0 for quick requests.
	Term int64 `json:"term,omitempty"`
	// Tasks is the number of the gang's tasks on the worker; Needs is the resources that they
	// occupy together.
	Tasks int           `json:"tasks,omitempty"`
	Needs job.Resources `json:"needs"`
	// Lease is the time in milliseconds after which the worker stops the task unless the lease
	// is renewed.
	Lease   clock.Millis `json:"lease_ms,omitempty"`
	Payload []byte       `json:"payload,omitempty"`
	// Gang names all workers that run tasks of the same gang.
	Gang []string `json:"gang,omitempty"`
	// GangRunning is set in a call of Lift when the tasks of the gang run on all of its workers.
	// Renew extends only the leases of tasks for which it is set.
	GangRunning bool `json:"whole,omitempty"`
	// Checkpoint is the checkpoint to resume from and, in the answer to a stop, the last one
	// that the task made.
	Checkpoint string `json:"checkpoint,omitempty"`

	// Incarnation identifies the process of the worker that the call is meant for. Any other
	// process refuses the call as Replaced. A call with "" is accepted by every process.
	Incarnation string `json:"incarnation,omitempty"`
	// KeepResult makes the worker keep a quick task after its end until Release is called. If the
	// worker refuses the task, it also fences the attempt.
	KeepResult bool `json:"keep,omitempty"`

	// The worker sets State, Ran, Result, Hash and RunTime.
	State State `json:"state,omitempty"`
	// Ran reports whether the task has ever started to run.
	Ran    bool   `json:"ran,omitempty"`
	Result []byte `json:"result,omitempty"`
	// Hash is the hash of Result, computed as by outcome.Hash.
	Hash string `json:"hash,omitempty"`
	// RunTime is the time in milliseconds for which the task has run. The time during which it
	// was throttled to zero is not included.
	RunTime clock.Millis `json:"used_ms,omitempty"`
}

// Stop requests the end of a task. If Grace is positive, the task has that many milliseconds
// to make a checkpoint.
type Stop struct {
	ID      string       `json:"id"`
	Attempt int          `json:"attempt"`
	Term    int64        `json:"term"`
	Grace   clock.Millis `json:"grace_ms,omitempty"`
	// FenceOnly limits the call to fencing an attempt that the worker has not seen, so that it
	// can't start any more. If the worker has seen the attempt or a later one, or still runs an
	// earlier one, it stops nothing and returns the current state of the task.
	FenceOnly bool `json:"fence,omitempty"`
	// Incarnation identifies the process that the call is meant for, as in Task.
	Incarnation string `json:"incarnation,omitempty"`
}

// Renewal extends the leases of all tasks of a worker for which Task.GangRunning is set.
type Renewal struct {
	Term  int64        `json:"term"`
	Lease clock.Millis `json:"lease_ms"`
	// SinceChange is the ChangeCount of the last report that the caller received. Tasks that have
	// not changed since then are left out of the answer.
	SinceChange uint64 `json:"since,omitempty"`
	// Wait is the longest time in milliseconds for which the agent delays the answer until a
	// task changes.
	Wait clock.Millis `json:"wait_ms,omitempty"`
}

// Report is the state of a worker. The free resources may be slightly out of date.
type Report struct {
	Name string `json:"name,omitempty"`
	// Incarnation changes whenever the worker's process is replaced.
	Incarnation string        `json:"incarnation"`
	Free        job.Resources `json:"free"`
	Leaving     bool          `json:"leaving,omitempty"`
	// Term is the highest term that the agent has seen.
	Term int64 `json:"term,omitempty"`
	// ChangeCount counts the changes of gang tasks since the agent started.
	ChangeCount uint64 `json:"change,omitempty"`
	Tasks       []Task `json:"tasks,omitempty"`
}

// Error describes a failed call of a worker's agent.
type Error struct {
	Op      string
	Address string
	// Refusal is the agent's reason if the agent refused the call, otherwise "".
	Refusal Refusal
	// Sent is false when the call certainly did not reach the agent.
	Sent bool
	Err  error
}

// Error returns the operation, the address of the worker and the cause.
func (e *Error) Error() string {
	if e.Refusal != "" {
		return fmt.Sprintf("worker: %s at %s: refused: %s", e.Op, e.Address, e.Refusal)
	}
	return fmt.Sprintf("worker: %s at %s: %v", e.Op, e.Address, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// RefusalOf returns the agent's refusal in err, or "" if err contains none.
func RefusalOf(err error) Refusal {
	var e *Error
	if errors.As(err, &e) {
		return e.Refusal
	}
	return ""
}

// Answered reports whether the agent answered the call: err is nil or contains a refusal.
func Answered(err error) bool { return err == nil || RefusalOf(err) != "" }

// NotSent reports whether err shows that the call had no effect, because it did not reach
// the agent or the agent refused it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && (!e.Sent || e.Refusal != "")
}

// Config configures a Client.
type Config struct {
	// Address is the host and port of the agent.
	Address string
	// Transport sends the HTTP requests; nil means http.DefaultTransport. The clients of
	// several workers may share one.
	Transport http.RoundTripper
	// Observe, if not nil, is called with the result of each call.
	Observe func(err error)
}

// Client calls the agent of one worker. It is safe for concurrent use. A call has no timeout
// other than that of its context. Errors are *Error.
type Client struct {
	address string
	http    *http.Client
	observe func(err error)
}

// New returns a client of the agent at cfg.Address.
func New(cfg Config) *Client {
	return &Client{address: cfg.Address, http: &http.Client{Transport: cfg.Transport}, observe: cfg.Observe}
}

// Run runs a quick task and waits for its end. If the worker already knows this attempt, or an
// earlier one that still runs or has finished, the task is not run again: Run waits for the
// end of the known attempt and returns its state.
func (c *Client) Run(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "run", "/v1/run", t)
}

// Reserve reserves the resources of t for t.Lease milliseconds without starting t.
func (c *Client) Reserve(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "reserve", "/v1/reserve", t)
}

// Start starts a reserved task under the lease t.Lease. The task is throttled to zero, so it
// makes no progress until Lift is called.
func (c *Client) Start(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "start", "/v1/start", t)
}

// Lift removes the throttle of a started task and extends its lease to t.Lease. If
// t.GangRunning is set, Lift marks the task as part of a gang that runs on all of its workers.
func (c *Client) Lift(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "lift", "/v1/lift", t)
}

// Stop stops a task, or releases its reservation, and returns the final state of the task. An
// attempt that the worker has never seen is fenced: it can't start any more.
func (c *Client) Stop(ctx context.Context, s Stop) (Task, error) {
	return call[Task](ctx, c, "stop", "/v1/stop", s)
}

// Renew extends the leases of the worker's tasks for which GangRunning is set, and returns
// the gang tasks that have changed since r.SinceChange, without their results. It returns at
// once if there are any, and otherwise after r.Wait at the latest. A renewal never creates a
// task.
func (c *Client) Renew(ctx context.Context, r Renewal) (Report, error) {
	return call[Report](ctx, c, "renew", "/v1/renew", r)
}

// Release makes the worker discard the result of an ended task. The attempt stays fenced for
// at least an hour, so that a delayed duplicate of a call can't run the task again.
func (c *Client) Release(ctx context.Context, id string, attempt int) error {
	_, err := call[Task](ctx, c, "release", "/v1/release", Task{ID: id, Attempt: attempt})
	return err
}

// Task returns the state of the task with an ID. If the worker has no such task, the error
// contains the refusal Absent.
func (c *Client) Task(ctx context.Context, id string) (Task, error) {
	return call[Task](ctx, c, "task", "/v1/task?id="+url.QueryEscape(id), nil)
}

// Report returns the state of the worker and of its tasks.
func (c *Client) Report(ctx context.Context) (Report, error) {
	return call[Report](ctx, c, "report", "/v1/report", nil)
}

type refusalResponse struct {
	Refusal Refusal `json:"refusal"`
}

func call[T any](ctx context.Context, c *Client, op, path string, in any) (out T, err error) {
	if c.observe != nil {
		defer func() { c.observe(err) }()
	}
	fail := func(sent bool, r Refusal, err error) (T, error) {
		return out, &Error{Op: op, Address: c.address, Sent: sent, Refusal: r, Err: err}
	}
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		method = http.MethodPost
		if body, err = json.Marshal(in); err != nil {
			return fail(false, "", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return fail(false, "", err)
	}
	// An empty value keeps net/http from sending its default User-Agent header.
	req.Header["User-Agent"] = []string{""}
	resp, err := c.http.Do(req)
	if err != nil {
		var opErr *net.OpError
		return fail(!errors.As(err, &opErr) || opErr.Op != "dial", "", err)
	}
	defer func() {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		var r refusalResponse
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Refusal == "" {
			return fail(true, "", errors.New(resp.Status))
		}
		return fail(true, r.Refusal, errors.New(resp.Status))
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return fail(true, "", err)
	}
	return out, nil
}
