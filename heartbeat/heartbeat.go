// Package heartbeat notices that the leader has failed sooner than its lease at the store ends. Two
// instances of each failure domain ask the leader several times a second whether it still renews its
// lease. If it doesn't, or does not answer, it is reported as failed, and its lease can be ended at
// once. That costs no safety: the next leader's fence and its conditional writes keep the old one
// out, as they do when a lease has lapsed.
//
// A leader that is only slow to answer must not be taken for failed. So several calls in a row have to
// fail, nothing that it writes may have been seen meanwhile, and the store must have answered since.
//
// # Usage
//
//	m := heartbeat.New(heartbeat.Options{Leader: leader, Watches: watches, StoreAnsweredAt: health.LastSuccess, Progress: b.ProgressCount, Client: client, OnFailed: depose, Clock: c, Log: log})
//	mux.Handle("GET "+heartbeat.Path, heartbeat.NewHandler(election.IsRenewing))
//	m.Stop(ctx)
package heartbeat

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Path is the path of the calls to the leader.
const Path = "/leads"

const (
	// period is the time between two calls and the timeout of a call.
	period = 200 * clock.Millisecond
	// maxFailures is the number of calls in a row that fail before the leader is taken for failed.
	maxFailures = 3
	// rest is the time after a report in which no other is made: the report takes effect at the
	// store, and the next leader has to become known.
	rest = 2 * clock.Second
)

// Leader is the leader as another instance knows it.
type Leader struct {
	Address string
	Term    uint64
	Lease   uint64
}

// Options configures a Monitor. All fields are required.
type Options struct {
	// Leader returns the leader; false if there is none, if this instance leads itself or if the
	// leader's address is not known.
	Leader func() (Leader, bool)
	// Watches reports whether this instance is one of those that watch the leader.
	Watches func() bool
	// StoreAnsweredAt returns when the store last answered this instance, in milliseconds by Clock. An
	// instance that the store does not answer may be cut off itself, and the leader sound.
	StoreAnsweredAt func() clock.Millis
	// Progress returns the number of writes of leaders that were seen.
	Progress func() uint64
	// Client makes the calls.
	Client *http.Client
	// OnFailed is called for a leader that has failed.
	OnFailed func(l Leader)
	Clock    *clock.Clock
	Log      *logrus.Entry
}

// Monitor watches the leader until Stop.
type Monitor struct {
	opts    Options
	cancel  context.CancelFunc
	running sync.WaitGroup

	// Only the goroutine that watches uses the fields below. failures is the number of calls to
	// leader that failed in a row, failingSince when the first of them did. progress is the last
	// value of Progress, progressAt when it changed.
	leader       Leader
	failures     int
	failingSince clock.Millis
	progress     uint64
	progressAt   clock.Millis
}

// New starts a monitor.
func New(opts Options) *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{opts: opts, cancel: cancel}
	m.running.Go(func() { m.watch(ctx) })
	return m
}

// Stop ends the monitor. The error is nil.
func (m *Monitor) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

func (m *Monitor) watch(ctx context.Context) {
	for {
		start := m.opts.Clock.Now()
		if m.check(ctx) {
			m.opts.OnFailed(m.leader)
			clock.Sleep(ctx, rest)
		}
		if !clock.Sleep(ctx, max(period-(m.opts.Clock.Now()-start), period/4)) {
			return
		}
	}
}

// check asks the leader once and reports whether it has failed.
func (m *Monitor) check(ctx context.Context) bool {
	if progress := m.opts.Progress(); progress != m.progress {
		m.progress, m.progressAt = progress, m.opts.Clock.Now()
	}
	leader, known := m.opts.Leader()
	if leader != m.leader {
		m.leader, m.failures = leader, 0
	}
	if !known || !m.opts.Watches() {
		m.failures = 0
		return false
	}
	err := m.ask(ctx, leader)
	if err == nil {
		m.failures = 0
		return false
	}
	now := m.opts.Clock.Now()
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failures++
	silentFor := now - m.progressAt
	if m.failures < maxFailures || silentFor < (maxFailures-1)*period || m.opts.StoreAnsweredAt() <= m.failingSince {
		return false
	}
	m.opts.Log.WithError(err).WithFields(logrus.Fields{"term": leader.Term, "failures": m.failures, "progress_ms_ago": int64(silentFor)}).Warn("heartbeat: the leader has failed")
	m.failures = 0
	return true
}

// ask returns nil if the leader still leads and renews its lease.
func (m *Monitor) ask(ctx context.Context, l Leader) error {
	ctx, cancel := context.WithTimeout(ctx, period.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+Path+"?term="+strconv.FormatUint(l.Term, 10), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := m.opts.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", resp.StatusCode)
	}
	return nil
}

// NewHandler returns the handler for the calls of other instances. It answers 200 if renews reports
// that this instance leads in the term and renews its lease, and 409 otherwise.
func NewHandler(renews func(term uint64) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		term, err := strconv.ParseUint(r.URL.Query().Get("term"), 10, 64)
		if err != nil || !renews(term) {
			http.Error(w, "not the leader of that term", http.StatusConflict)
		}
	})
}
