package intake_test

import (
	"context"
	"fmt"

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

// hall is one store with the instances before it.
type hall struct {
	store *platformtest.Store
	cfg   *site.Config
	desks []*intake.Desk
}

// newHall makes a hall of two instances; the second does not follow the store.
func newHall() *hall {
	h := &hall{store: platformtest.NewStore(), cfg: &site.Config{
		Version: 1,
		Queues: []site.Queue{
			{Name: "sweeps", Host: "h", Prefix: "/s/", Service: "svc"},
			{Name: "checks", Host: "h", Prefix: "/c/", Service: "svc"},
			{Name: "open", Host: "h", Prefix: "/o/", Service: "svc", Public: true},
		},
		Accounts: []site.Account{{Name: "a", Keys: []string{"key-a"}}, {Name: "b", Keys: []string{"key-b"}}},
	}}
	DeferCleanup(h.store.Close)
	for n := range 2 {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		desk := intake.New(intake.Options{
			Name: fmt.Sprint("e", n), Store: platform.NewStore(platform.StoreOptions{Address: h.store.Address()}), Board: board.New(nil),
			Config: func() *site.Config { return h.cfg }, Clock: clock.New(), Log: logrus.NewEntry(log),
		})
		DeferCleanup(desk.Stop)
		h.desks = append(h.desks, desk)
	}
	return h
}

// body is a job that a payload tells from others.
func body(payload string) workflow.Spec {
	return workflow.Spec{Payload: payload, Steps: []workflow.Step{{Count: 1, Accels: 1}}}
}

// call makes a call at an instance and returns how it was answered.
func (h *hall) call(at int, verb, path, key, payload string) intake.Answer {
	GinkgoHelper()
	grant, refusal := h.desks[at].Admit(intake.Call{Host: "h", Path: path + jobID, Key: key})
	if refusal != nil {
		return *refusal
	}
	ctx := context.Background()
	switch verb {
	case "POST":
		return h.desks[at].Submit(ctx, grant, body(payload))
	case "DELETE":
		return h.desks[at].Cancel(ctx, grant)
	}
	return h.desks[at].State(ctx, grant)
}

var _ = Describe("a job of one account", func() {
	for at, where := range []string{"at the instance that accepted it", "at an instance that has not seen it"} {
		DescribeTable(where,
			func(verb, path, key, payload string, verdict intake.Verdict) {
				h := newHall()
				Expect(h.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
				Expect(h.call(at, verb, path, key, payload).Verdict).To(Equal(verdict))
				kept := h.call(at, "GET", "/s/", "key-a", "")
				Expect(kept.Verdict).To(Equal(intake.OK))
				if verdict != intake.OK {
					Expect(kept.State).To(Equal(workflow.Queued))
				}
			},
			Entry("is handed in again", "POST", "/s/", "key-a", "x", intake.OK),
			Entry("is told to its account", "GET", "/s/", "key-a", "", intake.OK),
			Entry("is cancelled by its account", "DELETE", "/s/", "key-a", "", intake.OK),
			Entry("is not handed in with another body", "POST", "/s/", "key-a", "y", intake.Clash),
			Entry("is not handed in by another account", "POST", "/s/", "key-b", "x", intake.Clash),
			Entry("is not handed in to another queue", "POST", "/c/", "key-a", "x", intake.Clash),
			Entry("is not handed in to a public queue", "POST", "/o/", "", "x", intake.Clash),
			Entry("is not told to another account", "GET", "/s/", "key-b", "", intake.NoJob),
			Entry("is not told by another queue", "GET", "/c/", "key-a", "", intake.NoJob),
			Entry("is not told by a public queue", "GET", "/o/", "", "", intake.NoJob),
			Entry("is not cancelled by another account", "DELETE", "/s/", "key-b", "", intake.NoJob),
			Entry("is not cancelled by another queue", "DELETE", "/c/", "key-a", "", intake.NoJob),
			Entry("is not told to an unknown key", "GET", "/s/", "key-c", "", intake.NoKey),
		)
	}

	It("says of another account's job what it says of none", func() {
		h := newHall()
		none := h.call(0, "GET", "/s/", "key-b", "")
		Expect(h.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		Expect(h.call(0, "GET", "/s/", "key-b", "")).To(Equal(none))
		Expect(h.call(0, "DELETE", "/s/", "key-b", "")).To(Equal(none))
	})

	It("stays the account's when its key is replaced", func() {
		h := newHall()
		Expect(h.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		next := *h.cfg
		next.Version, next.Accounts = 2, []site.Account{{Name: "a", Keys: []string{"key-a2"}}, {Name: "b", Keys: []string{"key-a"}}}
		h.cfg = &next
		Expect(h.call(0, "GET", "/s/", "key-a2", "").Verdict).To(Equal(intake.OK))
		Expect(h.call(0, "GET", "/s/", "key-a", "").Verdict).To(Equal(intake.NoJob))
	})

	It("is anybody's in a public queue", func() {
		h := newHall()
		Expect(h.call(0, "POST", "/o/", "key-a", "x").Verdict).To(Equal(intake.OK))
		Expect(h.call(0, "POST", "/o/", "", "x").Verdict).To(Equal(intake.OK))
		Expect(h.call(1, "GET", "/o/", "key-b", "").Verdict).To(Equal(intake.OK))
		Expect(h.call(1, "DELETE", "/o/", "", "").Verdict).To(Equal(intake.OK))
	})

	It("is unsure to be there when the store can't be read after a conflict", func() {
		h := newHall()
		Expect(h.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK))
		h.store.Set(func(f *platformtest.Faults) { f.Reads = true })
		Expect(h.call(1, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.Unsure))
	})
})
