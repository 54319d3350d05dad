package breaker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/breaker"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestBreaker(t *testing.T) { suite.Run(t, "breaker") }

var _ = Describe("a breaker", func() {
	It("opens after consecutive failures, allows one probe and closes when the probe succeeds", func() {
		var changes []bool
		b := breaker.New(breaker.Options{
			Name: "store", Failures: 3, Open: 30,
			OnChange: func(open bool) { changes = append(changes, open) },
		})
		for _, ok := range []bool{false, false, true, false, false, false} {
			done, allowed := b.Allow()
			Expect(allowed).To(BeTrue())
			done(breaker.ResultOf(ok))
		}
		_, allowed := b.Allow()
		Expect(allowed).To(BeFalse())
		Expect(b.Open()).To(BeTrue())

		var probe func(breaker.Result)
		Eventually(func() bool {
			probe, allowed = b.Allow()
			return allowed
		}).WithTimeout(5 * time.Second).Should(BeTrue())
		_, allowed = b.Allow()
		Expect(allowed).To(BeFalse(), "a second call during the probe")
		probe(breaker.Success)
		_, allowed = b.Allow()
		Expect(allowed).To(BeTrue())
		Expect(changes).To(Equal([]bool{true, false, false}))
	})

	It("does not open because of callers that cancel early", func() {
		b := breaker.New(breaker.Options{Failures: 2})
		for range 10 {
			done, allowed := b.Allow()
			Expect(allowed).To(BeTrue())
			done(breaker.Inconclusive)
		}
		Expect(b.Open()).To(BeFalse())
	})
})
