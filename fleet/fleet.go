// Package fleet assembles one instance that runs on the operators' platform. The instance answers
// callers, watches the configuration and the jobs in the platform's store, and runs the jobs while it is
// the leader.
//
// # Usage
//
//	i := fleet.New(fleet.Options{Settings: s, Log: log})
//	if err := i.Start(ctx); err != nil { ... }
//	<-terminated
//	err = i.Stop(ctx)
package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/controller"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/evacuation"
	"github.com/chestnutsail/chestnutsail/health"
	"github.com/chestnutsail/chestnutsail/heartbeat"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kernel"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/relay"
	"github.com/chestnutsail/chestnutsail/roster"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/witness"
)

const (
	// softMemoryShare is the fraction of the process's memory limit that is set as the Go runtime's soft
	// memory limit. The garbage collector runs more often as the process approaches the soft limit.
	softMemoryShare = 0.7
	// leaderWatchInterval and followerWatchInterval are the shortest times in milliseconds between two
	// answers of the watch on jobs, for a leader and for other instances. Each answer costs the store a
	// call.
	leaderWatchInterval   = 15 * clock.Millisecond
	followerWatchInterval = 200 * clock.Millisecond
	// instancesPrefix is the prefix of the keys under which the instances register.
	instancesPrefix = board.Prefix + "i/"
	// headerTimeout bounds the reading of a request's header, idleTimeout the time for which a connection
	// stays open without a request; both are in milliseconds.
	headerTimeout = 5 * clock.Second
	idleTimeout   = 60 * clock.Second
	// shutdownDelay is the time in milliseconds for which an instance that shuts down still serves requests.
	// The load balancer checks the readiness every second and removes an instance after two failed checks.
	shutdownDelay = 2500 * clock.Millisecond
	// revocationMargin is subtracted, in milliseconds, from the time for which a revoked key may still be
	// accepted. It leaves time for the answer to reach the caller.
	revocationMargin = 200 * clock.Millisecond
	// pageMegabits is the size in megabits of a full page of a listing on the network. The platform limits a
	// page to one megabyte of values, which are sent as base64 in JSON.
	pageMegabits = 12.0
	// shutdownReserve limits the delay of a shutdown, in milliseconds: the delay ends at least twice this time
	// before the end of the termination grace, so that the requests in progress and the services can finish.
	shutdownReserve = clock.Second
)

// Options configures an Instance.
type Options struct {
	Settings platform.Settings
	// Metrics is the port on which metrics are served; 0 means the last port of Settings.Ports.
	Metrics int
	Log     *logrus.Entry
	// Counters collects the metrics; nil means a new set.
	Counters *counters.Counters
}

// Instance is one instance and the services that run in its process.
type Instance struct {
	opts     Options
	clock    *clock.Clock
	counters *counters.Counters
	kernel   *kernel.Kernel
	config   atomic.Pointer[site.Config]
	// storedConfig is the same configuration as the store holds it. configLock is held while a
	// configuration is put into force. notedVersion is the highest version that another instance
	// has told of or by which it has accepted a job that this one runs.
	storedConfig atomic.Pointer[storedConfig]
	configLock   sync.Mutex
	notedVersion atomic.Pointer[notedVersion]
	bounds       atomic.Pointer[platform.Bounds]
	board        *board.Board
	// evacuations is nil if the operators make no such requests.
	evacuations   *evacuation.Requests
	configMirror  *mirror.Mirror
	jobMirror     *mirror.Mirror
	roster        *roster.Roster
	witness       *witness.Witness
	election      *election.Election
	storeHealth   *health.Monitor
	intakeHandler *intake.Handler
	servers       []*server
	stopping      atomic.Bool
}

// New returns an instance. It does not serve requests before Start is called.
func New(opts Options) *Instance {
	if opts.Counters == nil {
		opts.Counters = counters.New()
	}
	if opts.Metrics == 0 {
		opts.Metrics = opts.Settings.Ports[1]
	}
	i := &Instance{opts: opts, clock: clock.New(), counters: opts.Counters, kernel: kernel.New()}
	i.config.Store(&site.Config{})
	i.bounds.Store(&opts.Settings.Bounds)
	i.board = board.New(func(key string, err error) {
		opts.Log.WithError(err).WithField("key", key).Error("board: cannot decode the value of a key")
	})
	return i
}

// Start starts the services and the HTTP servers. An error means that a service could not start or that an
// address could not be opened.
func (i *Instance) Start(ctx context.Context) error {
	s := i.opts.Settings
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryLimit)))
	}
	store := platform.NewStore(platform.StoreOptions{Address: s.StoreAddress})
	i.buildServices(store)
	if err := i.kernel.Start(ctx); err != nil {
		return err
	}
	if err := i.startServers(); err != nil {
		return err
	}
	i.opts.Log.WithFields(logrus.Fields{"address": s.CallerAddress, "domain": s.Domain, "store": s.StoreAddress, "memory": s.MemoryLimit}).Info("fleet: started")
	return nil
}

// startServers starts the HTTP servers for callers, for the load balancer's health check and for metrics.
func (i *Instance) startServers() error {
	s := i.opts.Settings
	callerOptions := platform.JobHandlerOptions{Jobs: i.intakeHandler, OnAnswer: i.recordAnswer, Clock: i.clock, Log: i.opts.Log}
	peers := i.newPeerHandler(callerOptions)
	callerOptions.Relay = relay.New(relay.Options{
		Peers: i.roster.Peers, Version: i.configVersion, InForce: func() int64 { return i.config.Load().Version }, Adopt: i.adoptConfig,
		OnRetry: i.counters.Counter(controller.RetriesMetric("config")).Inc,
		Client:  platform.NewPeerClient(), Clock: i.clock, Log: i.opts.Log,
	})
	callerOptions.OnRelay = func(outcome string) {
		i.counters.Counter(`chestnutsail_relayed_total{outcome="` + outcome + `"}`).Inc()
	}
	callers := platform.NewJobHandler(callerOptions)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, i.serveReadiness)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", i.counters)
	if err := i.listenAndServe(s.CallerAddress, callerShare, alice.New(i.closeWhenUnavailable).Then(callers)); err != nil {
		return err
	}
	if err := i.listenAndServe(s.ReadyAddress, healthShare, ready); err != nil {
		return err
	}
	if address := i.peerAddress(); address != "" {
		mux := http.NewServeMux()
		mux.Handle("POST "+witness.Path, i.witness)
		mux.Handle("GET "+heartbeat.Path, heartbeat.NewHandler(i.election.IsRenewing))
		mux.Handle("/", peers)
		if err := i.listenAndServe(address, peerShare, mux); err != nil {
			return err
		}
	}
	if i.opts.Metrics == 0 {
		return nil
	}
	return i.listenAndServe(net.JoinHostPort(s.IP, strconv.Itoa(i.opts.Metrics)), metricsShare, metrics)
}

// buildServices creates the services and adds them to the kernel, which starts them in that order and stops
// them in reverse order.
func (i *Instance) buildServices(store *platform.Store) {
	s, log := i.opts.Settings, i.opts.Log
	i.storeHealth = health.New(health.Options{
		Name: "store", Clock: i.clock, Log: log,
		Probe: func(ctx context.Context) error { return store.Probe(ctx, board.LeaderKey) },
	})
	i.kernel.Add("health", i.storeHealth)
	i.followOperator(store)
	i.kernel.Add("config", i.configMirror)
	var jobController *controller.Controller
	i.roster = roster.New(roster.Options{Store: store, Prefix: instancesPrefix, Name: s.Name, Domain: s.Domain, Strength: strength(s), Memory: int(s.MemoryLimit >> 20), Address: i.peerAddress(), Clock: i.clock, Log: log})
	i.election = election.New(election.Options{
		Store: store, Key: board.LeaderKey, Name: s.Name, Delay: i.candidacyDelay, Clock: i.clock, Log: log,
		OnElected: func(term uint64) { jobController.StartLeading(term) }, OnLost: func() { jobController.StopLeading() },
	})
	i.witness = witness.New(witness.Options{
		Board: i.board, Others: i.roster.Others, Domain: s.Domain, Reachable: i.storeHealth.OK, Client: platform.NewPeerClient(), Log: log,
		OnOutcome: func(o witness.Outcome) {
			i.counters.Counter(`chestnutsail_ends_shared_total{outcome="` + string(o) + `"}`).Inc()
		},
	})
	var hosts controller.Hosts
	if s.HostsAddress != "" {
		hosts = platform.NewHostClient(s.HostsAddress)
	}
	jobController = controller.New(controller.Options{
		Store: store, Workers: platform.NewWorkerClient(), Hosts: hosts, Board: i.board, PageTimeout: pageTimeout(s),
		Prefix: platform.WorkersPrefix, Decode: platform.DecodeWorker,
		Term: i.election.Term, Config: i.config.Load, OnNewerConfig: i.noteConfigVersion, SinceStoreChange: func() clock.Millis { return i.jobMirror.SinceChange() },
		Evacuations: i.evacuations, EvacuationsPrefix: platform.EvacuationPrefix,
		Limits: i.limits, LeaderTTL: election.DefaultTTL, ShareEnds: i.witness.Share,
		Clock: i.clock, Counters: i.counters, Log: log,
	})
	i.jobMirror = mirror.New(mirror.Options{
		Store: store, Prefix: board.Prefix, PageTimeout: pageTimeout(s), Clock: i.clock, Log: log, MinInterval: i.watchInterval,
		Replace: func(entries []kv.Entry) {
			i.roster.Replace(entries)
			i.election.Observe(!i.board.Replace(entries))
		},
		Apply: func(changes []kv.Change) {
			i.roster.Apply(changes)
			if seen, led := i.board.Apply(changes); seen {
				i.election.Observe(!led)
			}
		},
	})
	i.intakeHandler = intake.New(intake.Options{
		Name: s.Name, Store: store, MaxValue: s.MaxValue, Stored: func() stored.Limit { return storedLimit(s, i.roster.Others()) }, Board: i.board, Config: i.usableConfig, ConfigOutdated: i.configMayBeOutdated, KeysOutdated: i.keysMayBeRevoked, Reachable: i.storeHealth.OK, Age: i.jobMirror.Age, SinceChange: i.jobMirror.SinceChange,
		OnRetry: i.counters.Counter(controller.RetriesMetric("acceptance")).Inc, Clock: i.clock, Log: log,
	})
	i.kernel.Add("roster", i.roster)
	i.kernel.Add("heartbeat", heartbeat.New(heartbeat.Options{
		Leader: i.leader, Watches: i.watchesLeader, StoreAnsweredAt: i.storeHealth.LastSuccess, Progress: i.board.ProgressCount,
		Client: platform.NewPeerClient(), OnFailed: i.depose, Clock: i.clock, Log: log,
	}))
	i.kernel.Add("controller", jobController)
	i.kernel.Add("jobs", i.jobMirror)
	i.kernel.Add("desk", i.intakeHandler)
}

// keysMayBeRevoked reports whether the configuration was last confirmed so long ago that a key in it may
// have been revoked, unnoticed by this instance, for longer than the installation allows.
func (i *Instance) keysMayBeRevoked() bool {
	limit := i.bounds.Load().RevocationLimit
	return limit > 0 && i.configMirror.Age() > limit-revocationMargin
}

// limits returns the limits currently in force, as the controller takes them.
func (i *Instance) limits() controller.Limits {
	b := i.bounds.Load()
	return controller.Limits{Lease: b.MaxLease, Stop: b.StopTime, Restore: b.RestoreTime, Retention: b.Retention, ReportInterval: b.ReportInterval, MaxValue: i.opts.Settings.MaxValue}
}

// Reload applies changed settings. New bounds take effect at once. A change of an address needs a restart
// of the process, which Reload reports in the log.
func (i *Instance) Reload(s platform.Settings) {
	current := i.opts.Settings
	i.bounds.Store(&s.Bounds)
	i.opts.Log.WithFields(logrus.Fields{
		"max_lease_ms": int64(s.Bounds.MaxLease), "restart_needed": s.StoreAddress != current.StoreAddress || s.CallerAddress != current.CallerAddress || s.ReadyAddress != current.ReadyAddress,
	}).Info("settings: reloaded")
}

// pageTimeout returns the timeout in milliseconds for reading one page of a listing: the timeout of an
// ordinary call plus twice the time that the transfer of a full page takes on the instance's link when the
// link carries nothing else. If the speed of the link is not known, it is the timeout of an ordinary call.
func pageTimeout(s platform.Settings) clock.Millis {
	if s.LinkSpeed <= 0 {
		return mirror.DefaultTimeout
	}
	return mirror.DefaultTimeout + clock.Millis(2*pageMegabits/s.LinkSpeed*float64(clock.Second))
}

func (i *Instance) watchInterval() clock.Millis {
	if _, leads := i.election.Term(); leads {
		return leaderWatchInterval
	}
	return followerWatchInterval
}

// applyConfig puts the configuration among the entries into force if it is newer than the current one.
func (i *Instance) applyConfig(entries []kv.Entry) {
	i.configLock.Lock()
	defer i.configLock.Unlock()
	for _, e := range entries {
		if e.Key != platform.ConfigKey {
			continue
		}
		next, err := platform.DecodeConfig(e.Value)
		if err != nil {
			i.opts.Log.WithError(err).WithField("revision", e.Version).Error("config: cannot decode the configuration")
			continue
		}
		if current := i.config.Load(); next.Version > current.Version {
			i.config.Store(&next)
			i.storedConfig.Store(&storedConfig{next.Version, e.Value})
			i.opts.Log.WithFields(logrus.Fields{
				"version": next.Version, "before": current.Version, "queues": len(next.Queues), "accounts": len(next.Accounts),
			}).Info("config: new configuration in force")
		}
	}
}

// serveReadiness answers the load balancer's health check: 200 while the instance can serve callers, 503
// before that, during shutdown and while the store is not reachable.
func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case i.stopping.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case i.config.Load().Version == 0 || !i.jobMirror.Synced():
		http.Error(w, "not synchronised", http.StatusServiceUnavailable)
	case !i.storeHealth.OK():
		// The load balancer then sends callers to instances that can record jobs.
		http.Error(w, "the store is not reachable", http.StatusServiceUnavailable)
	}
}

// closeWhenUnavailable sets "Connection: close" on answers while the instance shuts down or cannot record
// jobs. A caller then opens a new connection, which the load balancer directs to another instance.
func (i *Instance) closeWhenUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.stopping.Load() || !i.storeHealth.OK() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (i *Instance) recordAnswer(verb, verdict string, took clock.Millis) {
	i.counters.Counter(`chestnutsail_calls_total{verb="` + verb + `",verdict="` + verdict + `"}`).Inc()
	i.counters.Histogram(`chestnutsail_call_seconds{verb="` + verb + `"}`).Update(float64(took) / float64(clock.Second))
}

// Stop shuts the instance down. It resigns the leadership at once, serves callers until the load balancer
// has noticed that the instance is not ready, waits for the requests in progress and then stops the
// services. It returns the errors of the servers and services, joined.
func (i *Instance) Stop(ctx context.Context) error {
	i.stopping.Store(true)
	i.opts.Log.Info("fleet: shutting down")
	serveUntil := i.clock.Now() + min(shutdownDelay, i.opts.Settings.Bounds.TerminationGrace-2*shutdownReserve)
	i.election.Resign(ctx)
	clock.Sleep(ctx, serveUntil-i.clock.Now())
	var errs []error
	for _, s := range i.servers {
		errs = append(errs, s.stop(ctx))
	}
	errs = append(errs, i.kernel.Stop(ctx))
	err := errors.Join(errs...)
	i.opts.Log.WithError(err).Info("fleet: stopped")
	return err
}
