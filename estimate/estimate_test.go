package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/estimate"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestEstimate(t *testing.T) { suite.Run(t, "estimate") }

// workload draws pairs of declared and real run times: the real ones vary around a median by a
// standard deviation of spread, the declared ones around bias times the real ones by wrong. Both
// are of the logarithms.
type workload struct {
	median              clock.Millis
	spread, wrong, bias float64
}

func (w workload) draw(random *rand.Rand) (declared, observed clock.Millis) {
	runTime := float64(w.median) * math.Exp(w.spread*random.NormFloat64())
	return clock.Millis(runTime * w.bias * math.Exp(w.wrong*random.NormFloat64())), clock.Millis(runTime)
}

var _ = Describe("an estimator", func() {
	It("trusts the declared time while it has observed nothing", func() {
		e := estimate.New[string]()
		Expect(e.Predict("q", 5000)).To(Equal(clock.Millis(5000)))
		e.Observe("other", 1000, 9000)
		Expect(e.Predict("q", 5000)).To(Equal(clock.Millis(5000)))
	})

	It("ignores times that are not positive", func() {
		e := estimate.New[string]()
		e.Observe("q", 0, 5000)
		e.Observe("q", 5000, -1)
		Expect(e.Predict("q", 3000)).To(Equal(clock.Millis(3000)))
		e.Observe("q", 1000, 1000)
		Expect(e.Predict("q", 0)).To(BeZero())
	})

	// Guards against a prediction that overflows, which differs between processors and may be negative.
	DescribeTable("keeps the largest declared times within the longest that is reckoned with",
		func(observed ...clock.Millis) {
			e := estimate.New[string]()
			for _, o := range observed {
				e.Observe("q", 1000, o)
			}
			for _, declared := range []clock.Millis{clock.Longest, math.MaxInt64} {
				Expect(e.Predict("q", declared)).To(And(BeNumerically(">", clock.Hour), BeNumerically("<=", clock.Longest)))
			}
		},
		Entry("without observations"),
		Entry("after times that were declared well", 1000*clock.Millisecond, 1000*clock.Millisecond),
		Entry("after times that were declared too short", 5000*clock.Millisecond, 5000*clock.Millisecond, 5000*clock.Millisecond),
		Entry("after the longest times", clock.Longest, clock.Longest),
	)

	It("does not give up the declared time after a single outlier", func() {
		e := estimate.New[string]()
		e.Observe("q", 1000, 4000)
		Expect(e.Predict("q", 1000)).To(BeNumerically("<", 2500))
	})

	// Guards against one caller's declared time that spoils the predictions for all others of its class.
	DescribeTable("goes by declared times that were right, after one that is absurd",
		func(declared, observed clock.Millis) {
			e := estimate.New[string]()
			for i := range 24 {
				e.Observe("q", clock.Millis(1000+i), clock.Millis(1000+i))
			}
			e.Observe("q", declared, observed)
			Expect(e.Predict("q", clock.Minute)).To(BeNumerically("~", clock.Minute, clock.Minute/4))
		},
		Entry("far too long", clock.Longest, 1000*clock.Millisecond),
		Entry("far too short", clock.Millisecond, 1000*clock.Millisecond),
	)

	// The error is the root mean square of the logarithm of predicted over real run time.
	DescribeTable("predicts better than the better of declared and usual time, after few jobs",
		func(w workload, jobs int, largestError float64) {
			random := rand.New(rand.NewPCG(1, 2))
			e := estimate.New[string]()
			for range jobs {
				e.Observe(w.draw2(random))
			}
			sum := 0.0
			const tries = 2000
			for range tries {
				declared, observed := w.draw(random)
				sum += math.Pow(math.Log(float64(e.Predict("q", declared))/float64(observed)), 2)
			}
			Expect(math.Sqrt(sum / tries)).To(BeNumerically("<", largestError))
		},
		Entry("declared by guess", workload{7000, 0.3, 0.9, 1}, 12, 0.45),
		Entry("declared by guess, more jobs", workload{7000, 0.3, 0.9, 1}, 60, 0.36),
		Entry("declared well", workload{2500, 0.5, 0.2, 1}, 12, 0.25),
		Entry("declared well, more jobs", workload{2500, 0.5, 0.2, 1}, 60, 0.21),
		Entry("always declared three times too long", workload{2500, 0.8, 0.1, 3}, 30, 0.2),
	)

	It("follows a class whose run times change", func() {
		e := estimate.New[string]()
		for range 500 {
			e.Observe("q", 1000, 1000)
		}
		for range 300 {
			e.Observe("q", 1000, 4000)
		}
		Expect(e.Predict("q", 1000)).To(BeNumerically("~", 4000, 500))
	})
})

// draw2 returns a key and a pair of draw, as arguments of Observe.
func (w workload) draw2(random *rand.Rand) (string, clock.Millis, clock.Millis) {
	declared, observed := w.draw(random)
	return "q", declared, observed
}
