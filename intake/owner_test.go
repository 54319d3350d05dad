package intake_test

import (
	"context"
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

const jobID = "5c0e7a21d94b36f8"

// deployment is a store with several instances that use it.
type deployment struct {
	store    *platformtest.Store
	cfg      *site.Config
	handlers []*intake.Handler
}

// newDeployment returns a deployment of two instances. Neither follows the store's changes, so the
// second does not know the jobs that the first one accepted.
func newDeployment() *deployment {
	d := &deployment{store: platformtest.NewStore(), cfg: &site.Config{
		Version: 1,
		Queues: []site.Queue{
			{Name: "sweeps", Host: "h", Prefix: "/s/", Service: "svc"},
			{Name: "checks", Host: "h", Prefix: "/c/", Service: "svc"},
			{Name: "open", Host: "h", Prefix: "/o/", Service: "svc", Public: true},
		},
		Accounts: []site.Account{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}},
	}}
	DeferCleanup(d.store.Close)
	for n := range 2 {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		handler := intake.New(intake.Options{
			Name: fmt.Sprint("e", n), Store: platform.NewStore(platform.StoreOptions{Address: d.store.Address()}), Board: board.New(nil),
			Config: func() *site.Config { return d.cfg }, Clock: clock.New(), Log: logrus.NewEntry(log),
		})
		DeferCleanup(handler.Stop)
		d.handlers = append(d.handlers, handler)
	}
	return d
}

// specOf returns a specification of a job with the given payload.
func specOf(payload string) workflow.Spec {
	return workflow.Spec{Payload: payload, Steps: []workflow.Step{{Count: 1, Accels: 1}}}
}

// call sends a request to an instance and returns the answer.
func (d *deployment) call(instance int, verb, path, key, payload string) intake.Answer {
	GinkgoHelper()
	grant, refusal := d.handlers[instance].Admit(intake.Call{Host: "h", Path: path + jobID, Key: key})
	if refusal != nil {
		return *refusal
	}
	ctx := context.Background()
	switch verb {
	case "POST":
		return d.handlers[instance].Submit(ctx, grant, specOf(payload))
	case "DELETE":
		return d.handlers[instance].Cancel(ctx, grant)
	}
	return d.handlers[instance].State(ctx, grant)
}

var _ = Describe("a job of one account", func() {
	for instance, description := range []string{"at the instance that accepted it", "at an instance that has not seen it"} {
		DescribeTable(description,
			func(verb, path, key, payload string, verdict intake.Verdict) {
				d := newDeployment()
				Expect(d.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
				Expect(d.call(instance, verb, path, key, payload).Verdict).To(Equal(verdict))
				after := d.call(instance, "GET", "/s/", "key-a", "")
				Expect(after.Verdict).To(Equal(intake.OK))
				if verdict != intake.OK {
					Expect(after.State).To(Equal(workflow.Queued))
				}
			},
			Entry("can be submitted again", "POST", "/s/", "key-a", "x", intake.OK),
			Entry("reports its state to its account", "GET", "/s/", "key-a", "", intake.OK),
			Entry("can be cancelled by its account", "DELETE", "/s/", "key-a", "", intake.OK),
			Entry("can't be submitted with another payload", "POST", "/s/", "key-a", "y", intake.IDTaken),
			Entry("can't be submitted by another account", "POST", "/s/", "key-b", "x", intake.IDTaken),
			Entry("can't be submitted to another queue", "POST", "/c/", "key-a", "x", intake.IDTaken),
			Entry("can't be submitted to a public queue", "POST", "/o/", "", "x", intake.IDTaken),
			Entry("does not report its state to another account", "GET", "/s/", "key-b", "", intake.NoJob),
			Entry("does not report its state in another queue", "GET", "/c/", "key-a", "", intake.NoJob),
			Entry("does not report its state in a public queue", "GET", "/o/", "", "", intake.NoJob),
			Entry("can't be cancelled by another account", "DELETE", "/s/", "key-b", "", intake.NoJob),
			Entry("can't be cancelled in another queue", "DELETE", "/c/", "key-a", "", intake.NoJob),
			Entry("does not report its state to an unknown key", "GET", "/s/", "key-c", "", intake.NoKey),
		)
	}

	It("gets the same answer from another account as a job that does not exist", func() {
		d := newDeployment()
		noJob := d.call(0, "GET", "/s/", "key-b", "")
		Expect(d.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		Expect(d.call(0, "GET", "/s/", "key-b", "")).To(Equal(noJob))
		Expect(d.call(0, "DELETE", "/s/", "key-b", "")).To(Equal(noJob))
	})

	It("still belongs to its account after the account's key is replaced", func() {
		d := newDeployment()
		Expect(d.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		next := *d.cfg
		next.Version, next.Accounts = 2, []site.Account{{Name: "a", Keys: []string{"key-a2"}}, {Name: "b", Keys: []string{"key-a"}}}
		d.cfg = &next
		Expect(d.call(0, "GET", "/s/", "key-a2", "").Verdict).To(Equal(intake.OK))
		Expect(d.call(0, "GET", "/s/", "key-a", "").Verdict).To(Equal(intake.NoJob))
	})

	It("can be accessed by everyone in a public queue", func() {
		d := newDeployment()
		Expect(d.call(0, "POST", "/o/", "key-a", "x").Verdict).To(Equal(intake.OK))
		Expect(d.call(0, "POST", "/o/", "", "x").Verdict).To(Equal(intake.OK))
		Expect(d.call(1, "GET", "/o/", "key-b", "").Verdict).To(Equal(intake.OK))
		Expect(d.call(1, "DELETE", "/o/", "", "").Verdict).To(Equal(intake.OK))
	})

	// Guards against a retry that is refused, since the figures that an earlier version stored are bounded when they are read.
	It("can be submitted again if an earlier version has stored its figures as they were sent", func() {
		d := newDeployment()
		sent := func(payload string) workflow.Spec {
			return workflow.Spec{Payload: payload, Steps: []workflow.Step{{Count: 1, Accels: 1, Estimate: math.MaxInt64}}}
		}
		d.store.Put(board.RecordKey(jobID), workflow.Encode(workflow.Record{Queue: "sweeps", Account: "a", Spec: sent("x")}))
		grant, refusal := d.handlers[0].Admit(intake.Call{Host: "h", Path: "/s/" + jobID, Key: "key-a"})
		Expect(refusal).To(BeNil())
		for range 2 {
			Expect(d.handlers[0].Submit(context.Background(), grant, sent("x")).Verdict).To(Equal(intake.OK))
			Expect(d.handlers[0].Submit(context.Background(), grant, sent("y")).Verdict).To(Equal(intake.IDTaken))
		}
	})

	It("is reported as uncertain if the store can't be read after a conflict", func() {
		d := newDeployment()
		Expect(d.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		d.store.SetFaults(func(f *platformtest.Faults) { f.FailReads = true })
		Expect(d.call(1, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.Unsure))
	})
})
