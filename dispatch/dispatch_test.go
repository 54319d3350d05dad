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

// slack allows for a busy computer; it is far below the bounds it is added to in the product.
const slack = 500 * clock.Millisecond

// parallel runs f for 0 to n-1, some at a time.
func parallel(n int, f func(i int)) {
	GinkgoHelper()
	slots := make(chan struct{}, 64)
	var all sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer GinkgoRecover()
			defer func() { <-slots }()
			f(i)
		})
	}
	all.Wait()
}

// judge checks the promises for a gang of two, that may run in part for at most bound, by its outcome and the workers' journals.
func judge(d *domain, spec job.Spec, o outcome.Outcome, bound clock.Millis, detail string) {
	GinkgoHelper()
	runs := d.runs(spec.ID())
	detail = fmt.Sprintf("%s: %+v %+v", detail, o, runs)
	finished := 0
	for _, r := range runs {
		Expect(r.partial(2, clock.New().Now())).To(BeNumerically("<=", bound+slack), "partial gang: "+detail)
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
		Expect(finished).To(BeNumerically(">=", 1), "done without a whole run: "+detail)
	}
}

var _ = Describe("a scheduler that is killed", func() {
	// A start of a gang of two takes 2 reserves, 1 commit, 2 starts, 2 lifts and 2
	// confirmations; the scheduler also reads and renews meanwhile.
	const steps = 24
	DescribeTable("at any of its calls leaves no job lost, repeated or run in part",
		func(after bool, idempotent bool) {
			parallel(steps, func(step int) {
				d := newDomain(2)
				e1 := d.join("e1")
				e1.leads()
				e1.wire.after = after
				e2 := d.join("e2")
				spec := gangSpec("night", 2, `{"sleep_ms":400,"echo":"ok"}`)
				spec.Idempotent = idempotent
				Expect(e2.ledger.Submit(context.Background(), spec).Kind).To(Equal(outcome.Accepted))
				e1.wire.cutAt.Store(e1.wire.calls.Load() + 1 + int64(step))
				judge(d, spec, e2.ends("night"), times.Short, fmt.Sprint("step ", step))
				e1.kill()
				e2.kill()
			})
		},
		Entry("before the call takes effect", false, true),
		Entry("after the call took effect", true, true),
		Entry("before the call takes effect, of work that runs at most once", false, false),
		Entry("after the call took effect, of work that runs at most once", true, false),
	)
})

var _ = Describe("the whole path", func() {
	It("ends many jobs of each kind as they should", func() {
		d := newDomain(4)
		e := d.join("e1")
		begun := time.Now()
		for i := range 20 {
			spec := gangSpec(fmt.Sprint("j", i), i%3+1, `{"sleep_ms":20,"echo":"ok"}`)
			Expect(e.ledger.Submit(context.Background(), spec).Kind).To(Equal(outcome.Accepted))
		}
		for i := range 20 {
			Expect(e.ends(fmt.Sprint("j", i)).Kind).To(Equal(outcome.Done))
			Expect(d.runs(fmt.Sprint("kulhar/j", i))).To(HaveLen(1))
		}
		AddReportEntry("time", time.Since(begun))
	})

	It("decides nothing before a text is in force", func() {
		d := newDomain(1)
		d.blank.Store(true)
		e := d.join("e1")
		Expect(e.ledger.Submit(context.Background(), gangSpec("early", 1, `{"echo":"ok"}`)).Kind).To(Equal(outcome.Accepted))
		Consistently(func() outcome.Kind {
			return e.ledger.Ask(context.Background(), "kulhar", "early").Kind
		}).WithTimeout(time.Second).Should(Equal(outcome.Accepted))
		d.blank.Store(false)
		Expect(e.ends("early").Kind).To(Equal(outcome.Done))
	})
})
