package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestDispatch(t *testing.T) { suite.Run(t, "dispatch") }

// slack is added to the checked time bounds to allow for a busy machine. It is far below
// the bounds of the default times.
const slack = 500 * clock.Millisecond

// parallel calls f with 0 to n-1, at most 64 calls at a time, and waits for all of them.
func parallel(n int, f func(i int)) {
	GinkgoHelper()
	slots := make(chan struct{}, 64)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer GinkgoRecover()
			defer func() { <-slots }()
			f(i)
		})
	}
	wg.Wait()
}

// checkOutcome compares the outcome o of a job whose gang has two members with the
// workers' journals. The job must not be lost, a job that cannot be stopped must not run
// twice, and a part of the gang may run without the rest for at most bound milliseconds.
func checkOutcome(d *domain, spec job.Spec, o outcome.Outcome, bound clock.Millis, detail string) {
	GinkgoHelper()
	runs := d.runs(spec.ID())
	detail = fmt.Sprintf("%s: %+v %+v", detail, o, runs)
	finished := 0
	for _, r := range runs {
		Expect(r.partialTime(2, clock.New().Now())).To(BeNumerically("<=", bound+slack), "partial gang: "+detail)
		if r.finished(2) {
			finished++
		}
	}
	switch {
	case o.Kind == outcome.NotRun:
		Expect(runs).To(BeEmpty(), "not run: "+detail)
	case spec.Stoppable():
		Expect(o.Kind).To(Equal(outcome.Done), "lost: "+detail)
	default:
		Expect(o.Kind).To(Or(Equal(outcome.Done), Equal(outcome.Unknown)), "lost: "+detail)
	}
	if !spec.Stoppable() {
		Expect(len(runs)).To(BeNumerically("<=", 1), "repeated: "+detail)
	}
	if o.Kind == outcome.Done {
		Expect(finished).To(BeNumerically(">=", 1), "done, but no attempt finished as a whole: "+detail)
	}
}

// Guards against a takeover that loses, repeats or splits a job: the scheduler dies at
// each call of a gang's start in turn, before or after the call takes effect, and another
// instance takes over.
var _ = Describe("a scheduler that is killed", func() {
	// The start of a gang of two takes 2 reservations, 1 commit, 2 starts, 2 lifts and 2
	// confirmations. The scheduler also sends reads and renewals meanwhile.
	const steps = 24
	DescribeTable("at any of its calls leaves no job lost, repeated or partially run",
		func(after bool, idempotent bool) {
			parallel(steps, func(step int) {
				d := newDomain(2)
				e1 := d.addEntry("e1")
				e1.awaitLeadership()
				e1.network.cutAfter = after
				e2 := d.addEntry("e2")
				spec := gangSpec("night", 2, `{"sleep_ms":400,"echo":"ok"}`)
				spec.Idempotent = idempotent
				Expect(e2.ledger.Submit(context.Background(), spec).Kind).To(Equal(outcome.Accepted))
				e1.network.cutAt.Store(e1.network.calls.Load() + 1 + int64(step))
				checkOutcome(d, spec, e2.awaitEnd("night"), times.StartLease, fmt.Sprint("step ", step))
				e1.kill()
				e2.kill()
			})
		},
		Entry("before the call takes effect", false, true),
		Entry("after the call took effect", true, true),
		Entry("before the call takes effect, for work that runs at most once", false, false),
		Entry("after the call took effect, for work that runs at most once", true, false),
	)
})

var _ = Describe("scheduling from submission to end", func() {
	It("runs many jobs of different sizes to completion, each once", func() {
		d := newDomain(4)
		e := d.addEntry("e1")
		start := time.Now()
		for i := range 20 {
			spec := gangSpec(fmt.Sprint("j", i), i%3+1, `{"sleep_ms":20,"echo":"ok"}`)
			Expect(e.ledger.Submit(context.Background(), spec).Kind).To(Equal(outcome.Accepted))
		}
		for i := range 20 {
			Expect(e.awaitEnd(fmt.Sprint("j", i)).Kind).To(Equal(outcome.Done))
			Expect(d.runs(fmt.Sprint("kulhar/j", i))).To(HaveLen(1))
		}
		AddReportEntry("time", time.Since(start))
	})

	It("decides nothing before a cluster text is in force", func() {
		d := newDomain(1)
		d.noText.Store(true)
		e := d.addEntry("e1")
		Expect(e.ledger.Submit(context.Background(), gangSpec("early", 1, `{"echo":"ok"}`)).Kind).To(Equal(outcome.Accepted))
		Consistently(func() outcome.Kind {
			return e.ledger.Query(context.Background(), "kulhar", "early").Kind
		}).WithTimeout(time.Second).Should(Equal(outcome.Accepted))
		d.noText.Store(false)
		Expect(e.awaitEnd("early").Kind).To(Equal(outcome.Done))
	})
})
