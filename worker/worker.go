// Package worker speaks to the agent that the platform runs on each worker. The
// agent runs tasks under leases and is the only arbiter of its own capacity: it
// refuses what does not fit and whatever carries an older term or attempt than
// one it has seen.
//
// # Usage
//
//	w := worker.New(worker.Config{Address: "10.0.0.7:9000"})
//	t, err := w.Run(ctx, worker.Task{ID: "kulhar/refund-1", Attempt: 1, Payload: p})
//	switch {
//	case worker.NotSent(err): // certainly not run; another worker may be tried
//	case err != nil:          // ask with w.Task before saying anything
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

// State is where a task stands on its worker.
type State string

// The states of a task on a worker.
const (
	Reserved  State = "reserved"
	Throttled State = "throttled"
	Running   State = "running"
	// Stopped means the task was stopped on request, with its checkpoint if it made one.
	Stopped State = "stopped"
	// Lapsed means the lease ran out before it was renewed; the task was stopped.
	Lapsed   State = "lapsed"
	Finished State = "finished"
	Failed   State = "failed"
)

// Holds reports whether a task in this state occupies resources.
func (s State) Holds() bool { return s == Reserved || s == Throttled || s == Running }

// Complete reports whether a task in this state has ended by itself.
func (s State) Complete() bool { return s == Finished || s == Failed }

// Refusal is why a worker's agent did not do what it was asked.
type Refusal string

// The refusals.
const (
	Full    Refusal = "full"    // the task does not fit beside the tasks that run
	Fenced  Refusal = "fenced"  // a newer term or attempt has been seen
	Absent  Refusal = "absent"  // no such task or reservation
	Leaving Refusal = "leaving" // the worker takes no new tasks
	Bad     Refusal = "bad"     // the call is malformed
	// Replaced means that the call was meant for an earlier process of the worker.
	Replaced Refusal = "replaced"
)

// Task is a piece of work on a worker: one quick request, or the part of a gang
// that the worker holds. ID and Attempt identify it.
type Task struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	// Term is the term of the scheduler that placed the task; 0 for quick requests.
	Term int64 `json:"term,omitempty"`
	// Tasks is the number of the gang's tasks on the worker; Needs is what they occupy together.
	Tasks int           `json:"tasks,omitempty"`
	Needs job.Resources `json:"needs"`
	// Lease is the time in milliseconds after which the worker stops the task unless renewed.
	Lease   clock.Millis `json:"lease_ms,omitempty"`
	Payload []byte       `json:"payload,omitempty"`
	// Gang names the workers that hold parts of the same gang.
	Gang []string `json:"gang,omitempty"`
	// Whole tells with Lift that every part of the gang runs; only such tasks are renewed.
	Whole bool `json:"whole,omitempty"`
	// Checkpoint is where to resume from, and after a stop where the work was left.
	Checkpoint string `json:"checkpoint,omitempty"`

	// Incarnation names the process of the worker. A call that carries one is refused
	// as Replaced by any other process; "" reaches whichever runs.
	Incarnation string `json:"incarnation,omitempty"`
	// Keep asks the worker to keep a quick task after its end until Release, and to fence
	// an attempt that it refuses.
	Keep bool `json:"keep,omitempty"`

	// State, Ran, Result, Hash and Used are filled in by the worker.
	State State `json:"state,omitempty"`
	// Ran reports whether the task ever began to run.
	Ran    bool   `json:"ran,omitempty"`
	Result []byte `json:"result,omitempty"`
	// Hash is the hash of Result as in outcome.Hash.
	Hash string `json:"hash,omitempty"`
	// Used is the time in milliseconds that the task has been running unthrottled.
	Used clock.Millis `json:"used_ms,omitempty"`
}

// Stop asks for the end of a task, after a checkpoint if Grace is positive.
type Stop struct {
	ID      string       `json:"id"`
	Attempt int          `json:"attempt"`
	Term    int64        `json:"term"`
	Grace   clock.Millis `json:"grace_ms,omitempty"`
	// Fence only keeps an attempt from starting: one that the worker has seen is left
	// alone and returned as it is.
	Fence bool `json:"fence,omitempty"`
	// Incarnation is as in Task.
	Incarnation string `json:"incarnation,omitempty"`
}

// Renewal extends the leases of all whole gang tasks of a worker.
type Renewal struct {
	Term  int64        `json:"term"`
	Lease clock.Millis `json:"lease_ms"`
	// Since is the Change of the last report; tasks that did not change since are left out.
	Since uint64 `json:"since,omitempty"`
	// Wait is the time in milliseconds that the agent may hold the call until a task changes.
	Wait clock.Millis `json:"wait_ms,omitempty"`
}

// Report is the state of a whole worker, with the usage as of a moment ago.
type Report struct {
	Name string `json:"name,omitempty"`
	// Incarnation changes whenever the worker's process is replaced.
	Incarnation string        `json:"incarnation"`
	Free        job.Resources `json:"free"`
	Leaving     bool          `json:"leaving,omitempty"`
	// Term is the highest term that the agent has seen.
	Term int64 `json:"term,omitempty"`
	// Change counts the changes of gang tasks since the agent started.
	Change uint64 `json:"change,omitempty"`
	Tasks  []Task `json:"tasks,omitempty"`
}

// Error tells which call to which worker failed.
type Error struct {
	Op      string
	Address string
	// Refusal is set when the agent answered that it did not do it.
	Refusal Refusal
	// Sent is false when the call certainly never reached the agent.
	Sent bool
	Err  error
}

// Error formats the call, the worker and the cause.
func (e *Error) Error() string {
	if e.Refusal != "" {
		return fmt.Sprintf("worker: %s at %s: refused: %s", e.Op, e.Address, e.Refusal)
	}
	return fmt.Sprintf("worker: %s at %s: %v", e.Op, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RefusalOf returns the agent's refusal in err, or "".
func RefusalOf(err error) Refusal {
	var e *Error
	if errors.As(err, &e) {
		return e.Refusal
	}
	return ""
}

// Answered reports whether err shows an answer of the agent, or is nil.
func Answered(err error) bool { return err == nil || RefusalOf(err) != "" }

// NotSent reports whether err shows that the call had no effect: it never
// reached the agent, or the agent refused it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && (!e.Sent || e.Refusal != "")
}

// Config says where the agent is.
type Config struct {
	// Address is the host and port of the agent.
	Address string
	// Transport carries the calls; nil means a transport of its own. Clients of many
	// workers share one.
	Transport http.RoundTripper
	// Observe is told how each call ended; nil means nobody is.
	Observe func(err error)
}

// Client calls the agent of one worker. It is safe for concurrent use. Calls
// end when their context does.
type Client struct {
	address string
	http    *http.Client
	observe func(err error)
}

// New returns a client of the agent at cfg.Address.
func New(cfg Config) *Client {
	return &Client{address: cfg.Address, http: &http.Client{Transport: cfg.Transport}, observe: cfg.Observe}
}

// Run runs a quick task and waits for its end. A task that the worker already
// knows under the same ID is not run again: its state is returned.
func (c *Client) Run(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "run", "/v1/run", t)
}

// Reserve holds resources for t for t.Lease milliseconds without starting it.
func (c *Client) Reserve(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "reserve", "/v1/reserve", t)
}

// Start starts a reserved task throttled to zero under the lease t.Lease.
func (c *Client) Start(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "start", "/v1/start", t)
}

// Lift removes the throttle of a started task and extends its lease to t.Lease. With
// t.Whole it marks the task as part of a gang that runs whole.
func (c *Client) Lift(ctx context.Context, t Task) (Task, error) {
	return call[Task](ctx, c, "lift", "/v1/lift", t)
}

// Stop ends a task and returns it as it was left. It also drops a reservation.
// A task that the worker never saw is fenced: this attempt can't start any more.
func (c *Client) Stop(ctx context.Context, s Stop) (Task, error) {
	return call[Task](ctx, c, "stop", "/v1/stop", s)
}

// Renew extends the leases of the worker's whole gang tasks under a term and returns
// the gang tasks that changed since r.Since, without their results. It returns at
// once when some did, otherwise after r.Wait. A renewal creates nothing.
func (c *Client) Renew(ctx context.Context, r Renewal) (Report, error) {
	return call[Report](ctx, c, "renew", "/v1/renew", r)
}

// Release forgets the result of an ended task. Its attempt stays fenced, for at
// least an hour, so that a delayed copy of a call can't run it again.
func (c *Client) Release(ctx context.Context, id string, attempt int) error {
	_, err := call[Task](ctx, c, "release", "/v1/release", Task{ID: id, Attempt: attempt})
	return err
}

// Task returns a task by its ID, or the refusal Absent.
func (c *Client) Task(ctx context.Context, id string) (Task, error) {
	return call[Task](ctx, c, "task", "/v1/task?id="+url.QueryEscape(id), nil)
}

// Report returns the state of the whole worker.
func (c *Client) Report(ctx context.Context) (Report, error) {
	return call[Report](ctx, c, "report", "/v1/report", nil)
}

type refusal struct {
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
	// An empty value keeps the library from sending its own name with each call.
	req.Header["User-Agent"] = []string{""}
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		return fail(!errors.As(err, &dial) || dial.Op != "dial", "", err)
	}
	defer func() {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		var r refusal
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
