// Package entry composes one entry instance out of its services.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Settings: s})
//	if err := e.Start(ctx); err != nil { ... }
//	<-stop
//	err = e.Stop(ctx)
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/caller"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/expiry"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/kernel"
	"github.com/chestnutsail/chestnutsail/operator"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/token"
)

const (
	readHeaderTimeout = 5 * clock.Second
	// storeWrites and storeReads are one entry's share of the store's rate, in calls a second.
	storeWrites = 25
	storeReads  = 180
)

// Options configures an Entry.
type Options struct {
	Settings settings.Entry
	// Log defaults to the standard logger.
	Log *logrus.Logger
}

// Entry is one entry instance.
type Entry struct {
	opts     Options
	log      *logrus.Entry
	kernel   *kernel.Kernel
	server   *http.Server
	listener net.Listener
	leaving  atomic.Bool
}

// New composes an entry. It serves nothing before Start.
func New(opts Options) *Entry {
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	e := &Entry{opts: opts, kernel: kernel.New()}
	e.log = opts.Log.WithField("entry", opts.Settings.Name)
	return e
}

// Start makes the services and begins to serve.
func (e *Entry) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.opts.Settings.Listen)
	if err != nil {
		return err
	}
	e.listener = listener
	e.server = &http.Server{Handler: e.compose(), ReadHeaderTimeout: readHeaderTimeout.Duration()}
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	go func() {
		if err := e.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.WithError(err).Error("entry: serving ended")
		}
	}()
	e.log.WithField("address", e.Address()).Info("entry: serving")
	return nil
}

// Address returns the host and port that the entry serves on.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// Stop takes nothing new, finishes the requests in progress and stops the services.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.log.Info("entry: leaving")
	err := e.server.Shutdown(ctx)
	return errors.Join(err, e.kernel.Stop(ctx))
}

// compose makes the services in the order in which they depend on each other.
func (e *Entry) compose() http.Handler {
	s := e.opts.Settings
	clk := clock.New()
	count := counters.New()
	tokens := token.New(s.Secret, s.Previous)
	store := platform.New(platform.Config{Address: s.Store, Writes: storeWrites, Reads: storeReads, Clock: clk})
	holder := config.New(config.Options{Store: store, Log: e.log})
	directory := instances.New(instances.Options{Source: store, Domain: s.Domain, Log: e.log})
	retries := budget.New(budget.Options{Clock: clk})
	claims := claim.New(claim.Options{Store: store, Clock: clk, Budget: retries, Counters: count})
	sweeper := expiry.New(expiry.Options{Book: claims, Log: e.log})
	router := quick.New(quick.Options{
		Workers: directory, Claims: claims, Counters: count, Budget: retries, Clock: clk, Log: e.log,
		Weight: func(name string) int {
			account, _ := holder.Now().Text.Account(name)
			return account.Weight
		},
	})
	e.kernel.Add("store", store)
	e.kernel.Add("config", holder)
	e.kernel.Add("instances", directory)
	e.kernel.Add("budget", retries)
	e.kernel.Add("claims", claims)
	e.kernel.Add("expiry", sweeper)
	e.kernel.Add("quick", router)

	book := e.jobs(jobParts{store: store, holder: holder, directory: directory, counters: count, clock: clk})

	callers := caller.New(caller.Options{Quick: router, Jobs: book, Texts: holder, Tokens: tokens, Counters: count, Log: e.log})
	operators := operator.New(operator.Options{Config: holder, Tokens: tokens})
	mux := http.NewServeMux()
	mux.Handle("/v1/requests", callers)
	mux.Handle("/v1/requests/", callers)
	mux.Handle("/v1/text", operators)
	mux.Handle("/metrics", count)
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/ready", e.ready)
	return mux
}

// ready answers 200 once a text is in force and until the instance leaves.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	holder, _ := kernel.Find[*config.Holder](e.kernel, "config")
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case holder.Now().Revision == 0:
		http.Error(w, "no text in force", http.StatusServiceUnavailable)
	}
}
