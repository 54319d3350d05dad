package evacuation_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/evacuation"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestEvacuation(t *testing.T) { suite.Run(t, "evacuation") }

var _ = Describe("requests to evacuate failure domains", func() {
	var (
		age      clock.Millis
		clk      *clock.Clock
		logs     *logtest.Hook
		requests *evacuation.Requests
	)

	BeforeEach(func() {
		var log *logrus.Logger
		log, logs = logtest.NewNullLogger()
		age, clk = 0, clock.NewManual(1000)
		requests = evacuation.New(evacuation.Options{
			Age: func() clock.Millis { return age }, MaxAge: func() clock.Millis { return 3500 }, Clock: clk, Log: logrus.NewEntry(log),
		})
	})

	DescribeTable("hold for the failure domains",
		func(change func(), want ...string) {
			requests.Replace([]string{"a", "b"})
			change()
			var domains []string
			for d := range requests.Domains() {
				domains = append(domains, d)
			}
			Expect(domains).To(ConsistOf(want))
		},
		Entry("that were listed", func() {}, "a", "b"),
		Entry("that were listed last", func() { requests.Replace([]string{"b", "c"}) }, "b", "c"),
		Entry("that were added", func() { requests.Set("c", true) }, "a", "b", "c"),
		Entry("that were not taken back", func() { requests.Set("a", false) }, "b"),
		Entry("that were requested anew", func() { requests.Set("a", false); requests.Set("a", true) }, "a", "b"),
	)

	It("are logged once at their begin and at their end", func() {
		requests.Set("a", true)
		clk.Advance(700)
		requests.Replace([]string{"a"})
		Expect(requests.Domains()).To(HaveKeyWithValue("a", clock.Millis(700)))
		requests.Replace(nil)
		requests.Set("a", false)
		Expect(logs.AllEntries()).To(HaveLen(2))
		Expect(logs.LastEntry().Data).To(HaveKeyWithValue("for_ms", int64(700)))
	})

	It("are out of date once the store has not confirmed them for too long", func() {
		age = 3500
		Expect(requests.Outdated()).To(BeFalse())
		age++
		Expect(requests.Outdated()).To(BeTrue())
	})

	It("are never out of date, and hold for no domain, where there are none", func() {
		requests = nil
		requests.Set("a", true)
		requests.Replace([]string{"b"})
		Expect(requests.Includes("a") || requests.Includes("b") || requests.Outdated()).To(BeFalse())
		Expect(requests.Domains()).To(BeEmpty())
	})

	DescribeTable("may be relied on for a time below the limit",
		func(limit, want clock.Millis) { Expect(evacuation.MaxAge(limit)).To(Equal(want)) },
		Entry("with a margin", clock.Millis(5000), clock.Millis(3500)),
		Entry("for half of a short one", clock.Millis(2000), clock.Millis(1000)),
	)
})
