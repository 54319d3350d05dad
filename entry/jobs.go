package entry

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/dispatch"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/home"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/reconcile"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/term"
)

// jobDependencies are the services that addJobServices needs.
type jobDependencies struct {
	store      *consul.Client
	textHolder *config.Holder
	directory  *instances.Directory
	mesh       dispatchMesh
	counters   *counters.Counters
	clock      *clock.Clock
}

// addJobServices creates the services that record jobs, schedule them and renew their
// leases, adds them to the kernel and returns the ledger that records the jobs.
func (e *Entry) addJobServices(deps jobDependencies) *ledger.Ledger {
	name, domain := e.opts.Settings.Name, e.opts.Settings.Domain
	var dispatcher *dispatch.Dispatcher
	domainPicker := home.New(home.Options{
		Domain: domain, Texts: deps.textHolder,
		// The scheduler of another failure domain is reachable while one of the live peers
		// leads that domain.
		Reachable: func(domain string) bool {
			leads := func(p dispatch.Peer) bool { return p.Domain == domain && p.Leads }
			return slices.ContainsFunc(deps.mesh.Peers(), leads)
		},
	})
	jobLedger := ledger.New(ledger.Options{
		PickDomain: domainPicker.Pick,
		Store:      deps.store, ConflictingKey: claim.Key, Domain: domain, Clock: deps.clock, Log: e.log,
		Hint: func(domain string, entry ledger.Entry) { dispatcher.Hint(domain, entry) },
	})
	election := term.New(term.Options{Store: deps.store, Domain: domain, Name: name, Clock: deps.clock, Log: e.log})
	dispatcher = dispatch.New(dispatch.Options{
		Name: name, Domain: domain, Ledger: jobLedger, Election: election, Texts: deps.textHolder, Mesh: deps.mesh,
		Workers: func() []dispatch.Worker { return dispatchWorkers(deps.directory) },
		Times:   gang.Times{Lease: e.opts.Settings.LeaseTime}, Counters: deps.counters, Clock: deps.clock, Log: e.log,
	})
	renewals := renewer.New(renewer.Options{
		Name: name, Publisher: dispatcher, Period: e.opts.Settings.RenewInterval, Lease: e.opts.Settings.LeaseTime,
		Clock: deps.clock, Log: e.log, Term: func() int64 { return highestTerm(election, dispatcher) },
		Workers: func() []renewer.Target { return renewalTargets(deps.directory) },
		Entries: func() []string { return peerNames(dispatcher.Peers()) },
	})
	dispatcher.OnNotice(renewals.HandleNotice)
	e.kernel.Add("ledger", jobLedger)
	e.kernel.Add("dispatch", dispatcher)
	e.kernel.Add("renewer", renewals)
	// The kernel stops services in reverse order: the election stops before the services
	// added above, so that another entry takes over the failure domain at once.
	e.kernel.Add("term", election)
	e.kernel.Add("announcer", newAnnouncer(election, deps.mesh.AnnounceLeadership))
	e.kernel.Add("reconcile", reconcile.New(reconcile.Options{
		Domain: domain, Leads: func() bool { return election.Now().Leads }, Texts: deps.textHolder, Jobs: replicaJobs{jobLedger, deps.directory},
		Store: deps.store, Clock: deps.clock, Log: e.log,
	}))
	return jobLedger
}

func dispatchWorkers(directory *instances.Directory) []dispatch.Worker {
	workers := directory.Workers()
	out := make([]dispatch.Worker, len(workers))
	for i, w := range workers {
		node := scheduler.Node{Name: w.Name, Domain: w.Domain, Rack: w.Rack, Capacity: w.Capacity}
		out[i] = dispatch.Worker{Node: node, Leaving: w.Leaving, Agent: w.Client}
	}
	return out
}

func renewalTargets(directory *instances.Directory) []renewer.Target {
	workers := directory.Workers()
	out := make([]renewer.Target, len(workers))
	for i, w := range workers {
		out[i] = renewer.Target{Name: w.Name, Agent: w.Client}
	}
	return out
}

func peerNames(peers []dispatch.Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.Name
	}
	return out
}

// highestTerm returns the highest term of the failure domain that this entry or one of
// its peers knows.
func highestTerm(election *term.Election, dispatcher *dispatch.Dispatcher) int64 {
	highest := election.Now().Term
	for _, p := range dispatcher.Peers() {
		highest = max(highest, p.Term)
	}
	return highest
}
