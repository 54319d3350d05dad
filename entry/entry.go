// Package entry creates the services of one entry instance, connects them and serves
// the instance's HTTP API.
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
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/caller"
	"github.com/chestnutsail/chestnutsail/check"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/dispatch"
	"github.com/chestnutsail/chestnutsail/drain"
	"github.com/chestnutsail/chestnutsail/expiry"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/kernel"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/listing"
	"github.com/chestnutsail/chestnutsail/operator"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/token"
)

const (
	readHeaderTimeout = 5 * clock.Second
	resignTimeout     = 2 * clock.Second
)

// Options configures an Entry.
type Options struct {
	Settings settings.Entry
	// Log defaults to the standard logger of logrus.
	Log *logrus.Logger
}

// Entry is one instance of the system: a server process that answers callers, operators
// and other entries.
type Entry struct {
	opts      Options
	log       *logrus.Entry
	kernel    *kernel.Kernel
	server    *http.Server
	listener  net.Listener
	drainer   *drain.Drainer
	lifecycle *lifecycle
}

// New returns an entry that serves nothing until Start is called.
func New(opts Options) *Entry {
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	e := &Entry{opts: opts, kernel: kernel.New()}
	e.log = opts.Log.WithField("entry", opts.Settings.Name)
	e.lifecycle = newLifecycle(e.log)
	e.drainer = drain.New(drain.Options{Linger: opts.Settings.Linger, Timeout: opts.Settings.DrainTimeout, Log: e.log})
	return e
}

// Start listens on the configured address, creates and starts the services and serves
// HTTP requests in the background. It returns an error when the address can't be listened
// on or a service does not start.
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
			e.log.WithError(err).Error("entry: HTTP server stopped unexpectedly")
		}
	}()
	e.lifecycle.apply(ctx, eventServe)
	e.log.WithField("address", e.Address()).Info("entry: serving requests")
	return nil
}

// Address returns the host and port that the entry listens on. It may only be called
// after Start.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// Leaving returns a channel that is closed when the entry starts to drain, either because
// of Stop or at the request of an operator. In the latter case the owner of the entry has
// to call Stop.
func (e *Entry) Leaving() <-chan struct{} { return e.drainer.Begun() }

// Stop drains the entry and then stops its services. It announces that the entry is
// leaving, accepts new requests until the linger time of the settings is over, and waits
// for the requests in progress within the drain time of the settings and until ctx ends.
// It returns the errors of all of these steps.
func (e *Entry) Stop(ctx context.Context) error {
	e.lifecycle.apply(ctx, eventLeave)
	err := e.drainer.Drain(ctx)
	err = errors.Join(err, e.server.Shutdown(ctx), e.kernel.Stop(ctx))
	e.lifecycle.apply(ctx, eventStop)
	return err
}

// compose creates the services in the order of their dependencies and returns the HTTP
// handler of the entry.
func (e *Entry) compose() http.Handler {
	s := e.opts.Settings
	clk := clock.New()
	metrics := counters.New()
	tokens := token.New(s.Secret, s.PreviousSecret)
	store := consul.New(consul.Config{Address: s.StoreURL, Writes: float64(s.WriteRate), Reads: float64(s.ReadRate), Clock: clk})
	mesh := e.newMesh(meshDependencies{store: store, tokens: tokens, counters: metrics, clock: clk})
	textHolder := config.New(config.Options{Store: store, Peers: mesh, Check: check.Text, Clock: clk, Log: e.log})
	registration := listing.New(listing.Options{Platform: store, Self: e.registration(), Log: e.log})
	directory := instances.New(instances.Options{Source: store, Domain: s.Domain, Mesh: mesh, Clock: clk, Log: e.log})
	retries := budget.New(budget.Options{Clock: clk})
	claims := claim.New(claim.Options{Store: store, ConflictingKey: ledger.Key, Clock: clk, Budget: retries, Counters: metrics})
	sweeper := expiry.New(expiry.Options{Registry: claims, Log: e.log})
	router := quick.New(quick.Options{
		Workers: directory, Claims: claims, Counters: metrics, Budget: retries, Clock: clk, Log: e.log,
		Entries: liveEntries(mesh, s.Domain),
		Weight: func(name string) int {
			account, _ := textHolder.Now().Text.Account(name)
			return account.Weight
		},
	})
	e.kernel.Add("store", store)
	e.kernel.Add("mesh", mesh)
	e.kernel.Add("config", textHolder)
	e.kernel.Add("listing", registration)
	e.kernel.Add("instances", directory)
	e.kernel.Add("budget", retries)
	e.kernel.Add("claims", claims)
	e.kernel.Add("expiry", sweeper)
	e.kernel.Add("quick", router)

	jobLedger := e.addJobServices(jobDependencies{store: store, textHolder: textHolder, directory: directory, mesh: dispatchMesh{mesh}, counters: metrics, clock: clk})

	callers := caller.New(caller.Options{Quick: router, Jobs: jobLedger, Texts: textHolder, Tokens: tokens, Counters: metrics, Log: e.log})
	dispatcher, _ := kernel.Find[*dispatch.Dispatcher](e.kernel, "dispatch")
	operators := operator.New(operator.Options{
		Config: textHolder, Tokens: tokens, Mesh: mesh, Workers: directory, Platform: store,
		Scheduler: dispatcher, BeginDrain: e.drainer.Begin, Log: e.log,
	})
	e.registerLeaveActions(mesh, registration)
	api := http.NewServeMux()
	api.Handle("POST /v1/requests", e.drainer.Admit(callers, leavingRefusal(metrics)))
	api.Handle("/v1/requests", callers)
	api.Handle("/v1/requests/", callers)
	operators.Mount(api)
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.drainer.Track(api))
	mux.Handle(peer.Path, mesh)
	mux.Handle("/metrics", metrics)
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/ready", e.ready)
	return mux
}

// registerLeaveActions registers what the drainer does when this entry starts to leave: it
// notifies the other entries, marks the entry as leaving in the platform's list, and hands
// the duties of the services, such as the leadership of the failure domain, to other entries.
func (e *Entry) registerLeaveActions(mesh *peer.Mesh, registration *listing.Listing) {
	e.drainer.Announce(mesh.AnnounceLeaving)
	e.drainer.Announce(func() {
		if err := registration.MarkLeaving(context.Background()); err != nil {
			e.log.WithError(err).Warn("entry: could not mark this entry as leaving in the platform's list")
		}
	})
	e.drainer.Announce(func() {
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout.Duration())
		defer cancel()
		e.kernel.Resign(ctx)
	})
}

// ready answers readiness probes: 200 while a cluster text is in force and the entry is
// not leaving, otherwise 503.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	textHolder, _ := kernel.Find[*config.Holder](e.kernel, "config")
	switch {
	case e.drainer.Leaving():
		w.Header().Set("Connection", "close")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case textHolder.Now().Revision == 0:
		http.Error(w, "no text in force", http.StatusServiceUnavailable)
	}
}

// leavingRefusal returns the handler that refuses new requests after the linger time of a
// leaving entry is over.
func leavingRefusal(metrics *counters.Counters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		o := outcome.Refuse("", outcome.Leaving, clock.Millisecond, "this entry is leaving; another takes the request")
		metrics.Refused(o.Reason)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(caller.Status(o))
		_ = json.NewEncoder(w).Encode(o)
	})
}
