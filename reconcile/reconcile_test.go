package reconcile_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/reconcile"
	"github.com/chestnutsail/chestnutsail/text"
)

// fakeJobs reports each submitted job as running until it is canceled or ended by the test.
type fakeJobs struct {
	mu      sync.Mutex
	states  map[string]job.State
	started []string
	// onMissing is called with the key of a job that State has not found; it may be nil.
	onMissing func(key string)
}

func (j *fakeJobs) Submit(_ context.Context, s job.Spec) outcome.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := s.Check(); err != nil {
		return outcome.Refuse(s.Key, outcome.BadRequest, 0, err.Error())
	}
	if _, ok := j.states[s.Key]; !ok {
		j.states[s.Key] = job.Running
		j.started = append(j.started, s.Service)
	}
	return outcome.Outcome{Kind: outcome.Accepted}
}

func (j *fakeJobs) endJob(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.states[key] = job.Done
}

func (j *fakeJobs) Cancel(_ context.Context, _, key string) outcome.Outcome {
	j.endJob(key)
	return outcome.Refuse(key, outcome.Canceled, 0, "")
}

func (j *fakeJobs) State(_ context.Context, _, _, key string) (job.State, error) {
	j.mu.Lock()
	s, ok := j.states[key]
	onMissing := j.onMissing
	j.mu.Unlock()
	if ok && !s.Ended() {
		return s, nil
	}
	if onMissing != nil {
		onMissing(key)
	}
	return "", &kv.Error{Kind: kv.Missing, Err: kv.ErrMissing}
}

func (j *fakeJobs) Query(_ context.Context, _, key string) outcome.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch s, ok := j.states[key]; {
	case !ok:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey}
	case s.Ended():
		return outcome.Outcome{Kind: outcome.Done}
	default:
		return outcome.Outcome{Kind: outcome.Accepted}
	}
}

// liveKeys returns the keys of live jobs.
func (j *fakeJobs) liveKeys() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []string
	for k, s := range j.states {
		if !s.Ended() {
			keys = append(keys, k)
		}
	}
	return keys
}

func (j *fakeJobs) startOrder() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.started...)
}

// fakeTexts provides the cluster text that the test sets.
type fakeTexts struct{ current atomic.Pointer[text.Text] }

func (t *fakeTexts) Now() config.Snapshot {
	return config.Snapshot{Revision: 1, Text: t.current.Load()}
}

func (t *fakeTexts) set(raw string) {
	GinkgoHelper()
	parsed, err := text.Parse([]byte(raw))
	Expect(err).NotTo(HaveOccurred())
	t.current.Store(parsed)
}

const fleetText = `
fleet: [{domain: a, racks: 1, workers: 1}]
accounts: [{name: kulhar}]
services:
  - {name: cache, account: kulhar, replicas: 1, after: [ledger]}
  - {name: ledger, account: kulhar, replicas: 2, shape: {cores: 4}}
`

var _ = Describe("the reconciler", func() {
	var jobs *fakeJobs
	var texts *fakeTexts
	var store *consultest.Server
	var address string

	startReconciler := func(leads func() bool) {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		r := reconcile.New(reconcile.Options{
			Domain: "a", Leads: leads, Texts: texts, Jobs: jobs, Period: 10 * clock.Millisecond,
			Store: consul.New(consul.Config{Address: address}), Log: logrus.NewEntry(log),
		})
		DeferCleanup(func() { _ = r.Stop(context.Background()) })
	}
	alwaysLeads := func() bool { return true }

	BeforeEach(func() {
		jobs, texts = &fakeJobs{states: make(map[string]job.State)}, &fakeTexts{}
		store = consultest.New(consultest.Options{})
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		address = server.URL
		texts.set(fleetText)
	})

	It("starts services in the order of their dependencies and restarts a replica that ends", func() {
		startReconciler(alwaysLeads)
		Eventually(jobs.liveKeys).Should(HaveLen(3))
		Expect(jobs.startOrder()).To(Equal([]string{"ledger", "ledger", "cache"}))
		for _, k := range jobs.liveKeys() {
			if strings.Contains(k, "cache") {
				jobs.endJob(k)
			}
		}
		Eventually(jobs.liveKeys).WithTimeout(3 * time.Second).Should(HaveLen(3))
	})

	It("starts each replica once when two leaders act at the same time and answers of the store are lost", func() {
		store.SetFaults(consultest.Faults{LoseAnswers: 3})
		startReconciler(alwaysLeads)
		startReconciler(alwaysLeads)
		Eventually(jobs.liveKeys).WithTimeout(5 * time.Second).Should(HaveLen(3))
		Consistently(jobs.liveKeys).WithTimeout(300 * time.Millisecond).Should(HaveLen(3))
		Expect(jobs.startOrder()).To(HaveLen(3))
	})

	It("starts a replica once when another leader submits its job between the reads of its state and of its outcome", func() {
		store.SetFaults(consultest.Faults{LoseAnswers: 1})
		jobs.onMissing = func(key string) {
			service, _ := texts.Now().Text.Service("ledger")
			jobs.Submit(context.Background(), service.Spec(key, nil))
		}
		startReconciler(alwaysLeads)
		Eventually(jobs.liveKeys).WithTimeout(5 * time.Second).Should(HaveLen(3))
		Consistently(jobs.liveKeys).WithTimeout(300 * time.Millisecond).Should(HaveLen(3))
		Expect(jobs.startOrder()).To(HaveLen(3))
	})

	It("replaces replicas with another specification and stops services that were removed", func() {
		startReconciler(alwaysLeads)
		Eventually(jobs.liveKeys).Should(HaveLen(3))
		texts.set(strings.Replace(fleetText, "cores: 4", "cores: 8", 1))
		Eventually(jobs.startOrder).WithTimeout(8 * time.Second).Should(HaveLen(5))
		texts.set("fleet: [{domain: a, racks: 1, workers: 1}]\naccounts: [{name: kulhar}]\n")
		Eventually(jobs.liveKeys).WithTimeout(3 * time.Second).Should(BeEmpty())
	})

	It("does nothing while its entry does not lead", func() {
		startReconciler(func() bool { return false })
		Consistently(jobs.startOrder).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
	})
})
