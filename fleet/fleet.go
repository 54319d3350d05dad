// Package fleet composes one instance that runs on the operators' platform: it answers
// callers, follows the configuration and the jobs in the platform's store, and runs
// the jobs while it leads.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Settings: s, Log: log})
//	if err := f.Start(ctx); err != nil { ... }
//	<-terminated
//	err = f.Stop(ctx)
package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/controller"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/health"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kernel"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/site"
)

const (
	// memoryShare is the part of the process's memory limit that the heap may reach
	// before the garbage collector works harder.
	memoryShare = 0.7
	// leaderGap and otherGap are the least times in milliseconds between two answers of
	// the watch of jobs; each answer costs a call of the store.
	leaderGap = 15 * clock.Millisecond
	otherGap  = 200 * clock.Millisecond
	// leaderCores and leaderLink (megabits a second) are what a leader of several hundred
	// workers needs; weakDelay, in milliseconds, is the most by which one without them
	// lets others go first.
	leaderCores = 0.8
	leaderLink  = 200.0
	weakDelay   = 500 * clock.Millisecond
	// headerTimeout bounds the reading of a request's header, idleTimeout the life of a
	// connection without requests.
	headerTimeout = 5 * clock.Second
	idleTimeout   = 60 * clock.Second
	// linger is how long a leaving instance goes on answering on open connections: the
	// balancer asks every second and takes two misses.
	linger = 2500 * clock.Millisecond
	// revocationMargin is kept between the last moment at which a key is accepted and the
	// bound on its revocation, for the way of the answer.
	revocationMargin = 200 * clock.Millisecond
	// pageSize is the size in megabits of a full page of the store's keys: a megabyte of
	// values, as the platform bounds it, in base64 and JSON.
	pageSize = 12.0
	// closeTime is kept for the end of the process within its grace.
	closeTime = clock.Second
)

// Options configures a Fleet.
type Options struct {
	Settings platform.Settings
	// Metrics is the port for metrics; 0 means the last of the free ports.
	Metrics int
	Log     *logrus.Entry
	// Counters defaults to a set of its own.
	Counters *counters.Counters
}

// Fleet is one instance.
type Fleet struct {
	opts     Options
	clock    *clock.Clock
	counters *counters.Counters
	kernel   *kernel.Kernel
	config   atomic.Pointer[site.Config]
	bounds   atomic.Pointer[platform.Bounds]
	board    *board.Board
	configs  *mirror.Mirror
	jobs     *mirror.Mirror
	election *election.Election
	store    *health.Monitor
	desk     *intake.Desk
	servers  []*http.Server
	leaving  atomic.Bool
}

// New composes an instance. It serves nothing before Start.
func New(opts Options) *Fleet {
	if opts.Counters == nil {
		opts.Counters = counters.New()
	}
	if opts.Metrics == 0 {
		opts.Metrics = opts.Settings.Ports[1]
	}
	f := &Fleet{opts: opts, clock: clock.New(), counters: opts.Counters, kernel: kernel.New()}
	f.config.Store(&site.Config{})
	f.bounds.Store(&opts.Settings.Bounds)
	f.board = board.New(func(key string, err error) {
		opts.Log.WithError(err).WithField("key", key).Error("board: value can't be read")
	})
	return f
}

// Start begins to serve.
func (f *Fleet) Start(ctx context.Context) error {
	s := f.opts.Settings
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	store := platform.NewStore(platform.StoreOptions{Address: s.StoreAddress})
	f.compose(store)
	if err := f.kernel.Start(ctx); err != nil {
		return err
	}
	if err := f.open(); err != nil {
		return err
	}
	f.opts.Log.WithFields(logrus.Fields{"address": s.CallerAddress, "domain": s.Domain, "store": s.StoreAddress, "memory": s.MemoryLimit}).Info("fleet: started")
	return nil
}

// open begins to serve callers, the balancer's health check and metrics.
func (f *Fleet) open() error {
	s := f.opts.Settings
	callers := platform.NewJobHandler(platform.JobHandlerOptions{Jobs: f.desk, OnAnswer: f.answered, Clock: f.clock, Log: f.opts.Log})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, f.ready)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", f.counters)
	if err := f.serve(s.CallerAddress, alice.New(f.closing).Then(callers)); err != nil {
		return err
	}
	if err := f.serve(s.ReadyAddress, ready); err != nil {
		return err
	}
	if f.opts.Metrics == 0 {
		return nil
	}
	return f.serve(net.JoinHostPort(s.IP, strconv.Itoa(f.opts.Metrics)), metrics)
}

// compose makes the services in the order in which they depend on each other.
func (f *Fleet) compose(store *platform.Store) {
	s, log := f.opts.Settings, f.opts.Log
	f.store = health.New(health.Options{
		Name: "store", Clock: f.clock, Log: log,
		Probe: func(ctx context.Context) error { return store.Probe(ctx, board.LeadKey) },
	})
	f.kernel.Add("health", f.store)
	f.configs = mirror.New(mirror.Options{
		Store: store, Prefix: platform.ConfigKey, Clock: f.clock, Log: log,
		Replace: func(entries []kv.Entry) { f.adopt(entries) },
		Apply: func(changes []kv.Change) {
			for _, c := range changes {
				if !c.Deleted {
					f.adopt([]kv.Entry{c.Entry})
				}
			}
		},
	})
	f.kernel.Add("config", f.configs)
	var runner *controller.Controller
	f.election = election.New(election.Options{
		Store: store, Key: board.LeadKey, Name: s.Name, Delay: candidacy(s), Clock: f.clock, Log: log,
		Lead: func(term uint64) { runner.Lead(term) }, Lose: func() { runner.Lose() },
	})
	runner = controller.New(controller.Options{
		Store: store, Workers: platform.NewWorkers(), Board: f.board, PageTimeout: pageTimeout(s),
		Prefix: platform.WorkersPrefix, Decode: platform.DecodeWorker,
		Term: f.election.Term, Config: f.config.Load, Heard: func() clock.Millis { return f.jobs.Quiet() },
		Limits: f.limits,
		Clock:  f.clock, Counters: f.counters, Log: log,
	})
	f.jobs = mirror.New(mirror.Options{
		Store: store, Prefix: board.Prefix, PageTimeout: pageTimeout(s), Clock: f.clock, Log: log, Gap: f.gap,
		Replace: func(entries []kv.Entry) { f.election.Observe(!f.board.Replace(entries)) },
		Apply: func(changes []kv.Change) {
			if seen, led := f.board.Apply(changes); seen {
				f.election.Observe(!led)
			}
		},
	})
	f.desk = intake.New(intake.Options{
		Name: s.Name, Store: store, Board: f.board, Config: f.config.Load, Stale: f.stale, Reachable: f.store.OK, Age: f.jobs.Age, Quiet: f.jobs.Quiet,
		Repeated: f.counters.Counter(controller.Retries("acceptance")).Inc, Clock: f.clock, Log: log,
	})
	f.kernel.Add("controller", runner)
	f.kernel.Add("jobs", f.jobs)
	f.kernel.Add("desk", f.desk)
}

// stale reports whether the configuration was last confirmed so long ago that a key may
// have been revoked for longer than the installation allows.
func (f *Fleet) stale() bool {
	limit := f.bounds.Load().RevocationLimit
	return limit > 0 && f.configs.Age() > limit-revocationMargin
}

// limits returns the bounds in force for the jobs.
func (f *Fleet) limits() controller.Limits {
	b := f.bounds.Load()
	return controller.Limits{Lease: b.MaxLease, Stop: b.StopTime, Restore: b.RestoreTime, Beat: b.HeartbeatInterval, Retention: b.Retention}
}

// Reload takes settings that have changed. Bounds are in force at once; an address is
// the process's for its life, and a change of one is only reported.
func (f *Fleet) Reload(s platform.Settings) {
	was := f.opts.Settings
	f.bounds.Store(&s.Bounds)
	f.opts.Log.WithFields(logrus.Fields{
		"max_lease_ms": int64(s.Bounds.MaxLease), "restart_needed": s.StoreAddress != was.StoreAddress || s.CallerAddress != was.CallerAddress || s.ReadyAddress != was.ReadyAddress,
	}).Info("settings: reloaded")
}

// pageTimeout returns the time in milliseconds for one page of the store's keys: twice what
// it takes on the instance's link alone, beyond the time for an answer.
func pageTimeout(s platform.Settings) clock.Millis {
	if s.LinkSpeed <= 0 {
		return mirror.DefaultTimeout
	}
	return mirror.DefaultTimeout + clock.Millis(2*pageSize/s.LinkSpeed*float64(clock.Second))
}

// candidacy returns how long an instance lets others go first in an election. Orders
// and looks of a whole installation need the processor and the link of a strong one.
func candidacy(s platform.Settings) clock.Millis {
	strength := min(s.Cores/leaderCores, s.LinkSpeed/leaderLink, 1)
	return clock.Millis(float64(weakDelay) * (1 - strength))
}

func (f *Fleet) gap() clock.Millis {
	if _, leads := f.election.Term(); leads {
		return leaderGap
	}
	return otherGap
}

// adopt takes a configuration if it is newer than the one in force.
func (f *Fleet) adopt(entries []kv.Entry) {
	for _, e := range entries {
		if e.Key != platform.ConfigKey {
			continue
		}
		next, err := platform.DecodeConfig(e.Value)
		if err != nil {
			f.opts.Log.WithError(err).WithField("revision", e.Version).Error("config: can't be read")
			continue
		}
		if was := f.config.Load(); next.Version > was.Version {
			f.config.Store(&next)
			f.opts.Log.WithFields(logrus.Fields{
				"version": next.Version, "before": was.Version, "queues": len(next.Queues), "accounts": len(next.Accounts),
			}).Info("config: in force")
		}
	}
}

// ready answers 200 once callers can be served and until the instance leaves.
func (f *Fleet) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case f.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case f.config.Load().Version == 0 || !f.jobs.Synced():
		http.Error(w, "not synchronised", http.StatusServiceUnavailable)
	case !f.store.OK():
		// Callers are better served by instances that can record their jobs.
		http.Error(w, "the store is not reachable", http.StatusServiceUnavailable)
	}
}

// closing asks callers to come back on another connection, and so at another instance,
// while this one leaves or can't record jobs.
func (f *Fleet) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.leaving.Load() || !f.store.OK() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Fleet) answered(verb, verdict string, took clock.Millis) {
	f.counters.Counter(`chestnutsail_calls_total{verb="` + verb + `",verdict="` + verdict + `"}`).Inc()
	f.counters.Histogram(`chestnutsail_call_seconds{verb="` + verb + `"}`).Update(float64(took) / float64(clock.Second))
}

func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
	f.servers = append(f.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.opts.Log.WithError(err).WithField("address", address).Error("fleet: serving ended")
		}
	}()
	return nil
}

// Stop hands the leadership over at once, answers callers until the balancer has
// learned, finishes what is in progress and ends the services.
func (f *Fleet) Stop(ctx context.Context) error {
	f.leaving.Store(true)
	f.opts.Log.Info("fleet: leaving")
	f.election.Resign(ctx)
	clock.Sleep(ctx, min(linger, f.opts.Settings.Bounds.Grace-2*closeTime))
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	errs = append(errs, f.kernel.Stop(ctx))
	err := errors.Join(errs...)
	f.opts.Log.WithError(err).Info("fleet: stopped")
	return err
}
