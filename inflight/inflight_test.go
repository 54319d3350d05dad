package inflight_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/inflight"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestInflight(t *testing.T) { suite.Run(t, "inflight") }

var _ = Describe("a limiter", func() {
	var (
		l      *inflight.Limiter
		closed []string
		slots  map[string]*inflight.Slot
	)
	open := func(now clock.Millis, name string) bool {
		slots[name] = l.Open(now, func() { closed = append(closed, name) })
		return slots[name] != nil
	}
	BeforeEach(func() {
		closed, slots = nil, make(map[string]*inflight.Slot)
		l = inflight.New(inflight.Options{Conns: 3, Bytes: 100, Free: 10, Stall: 500})
		for _, name := range []string{"a", "b", "c"} {
			Expect(open(0, name)).To(BeTrue())
		}
	})

	DescribeTable("makes room for a connection", func(before func(), admitted bool, want ...string) {
		before()
		Expect(open(9, "d")).To(Equal(admitted))
		Expect(closed).To(HaveExactElements(want))
	},
		Entry("in place of the oldest", func() {}, true, "a"),
		Entry("in place of the one with the least recent progress", func() { slots["a"].Progress(1) }, true, "b"),
		Entry("not in place of one that is served", func() { slots["a"].Serve() }, true, "b"),
		Entry("in place of one that awaits its next request", func() { slots["a"].Serve(); slots["a"].Wait(2) }, true, "b"),
		Entry("unless all are served", func() { slots["a"].Serve(); slots["b"].Serve(); slots["c"].Serve() }, false),
		Entry("without closing any if one has closed", func() { slots["b"].Close(); slots["b"].Close() }, true),
	)

	DescribeTable("makes room for a body", func(now clock.Millis, n int64, before func(), fits bool, want ...string) {
		Expect(slots["a"].Take(0, 70)).To(BeTrue())
		Expect(slots["b"].Take(0, 50)).To(BeTrue())
		before()
		Expect(slots["c"].Take(now, n)).To(Equal(fits))
		Expect(closed).To(HaveExactElements(want))
		_, bytes := l.Usage()
		Expect(bytes).To(BeNumerically("<=", 100))
	},
		Entry("that is small, without closing any", clock.Millis(900), int64(10), func() {}, true),
		Entry("in place of one that has stalled", clock.Millis(500), int64(11), func() {}, true, "a"),
		Entry("in place of several that have stalled", clock.Millis(500), int64(90), func() {}, true, "a", "b"),
		Entry("not in place of one that is still arriving", clock.Millis(499), int64(11), func() {}, false),
		Entry("not in place of one that makes progress", clock.Millis(500), int64(11), func() { slots["a"].Progress(200) }, true, "b"),
		Entry("not in place of one that is served", clock.Millis(500), int64(90), func() { slots["a"].Serve() }, false),
		Entry("if another one is done", clock.Millis(0), int64(60), func() { slots["a"].Release() }, true),
		Entry("not for one that is larger than all of it", clock.Millis(500), int64(111), func() {}, false),
	)

	It("takes no bytes of a connection that was closed to make room", func() {
		Expect(slots["a"].Take(0, 70)).To(BeTrue())
		Expect(open(0, "d")).To(BeTrue())
		Expect(slots["a"].Take(0, 1)).To(BeFalse())
		conns, bytes := l.Usage()
		Expect(conns).To(Equal(3))
		Expect(bytes).To(BeZero())
	})

	It("bounds nothing without options", func() {
		l = inflight.New(inflight.Options{})
		for range 10 {
			Expect(open(0, "x")).To(BeTrue())
			Expect(slots["x"].Take(0, 1<<40)).To(BeTrue())
		}
	})
})
