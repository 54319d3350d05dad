package shortage_test

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/shortage"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestShortage(t *testing.T) { suite.Run(t, "shortage") }

// work returns work of class 1 that needs a share of all room for a second.
func work(room float64, slack clock.Millis) shortage.Work {
	return shortage.Work{Class: 1, Account: "a", Room: room, Duration: clock.Second, Slack: slack}
}

func with(w shortage.Work, change func(*shortage.Work)) shortage.Work {
	change(&w)
	return w
}

func list(w ...shortage.Work) []shortage.Work { return w }

var _ = Describe("with too little room", func() {
	const (
		late     clock.Millis = -1
		now      clock.Millis = 0
		early    clock.Millis = 1000
		later    clock.Millis = 1500
		muchLate clock.Millis = 60000
	)
	full := []shortage.Commitment{{Room: 1, Left: clock.Second}}
	halfFull := []shortage.Commitment{{Room: 0.5, Left: clock.Second}}
	fixed := func(w *shortage.Work) { w.Fixed = true }
	other := func(w *shortage.Work) { w.Account = "b" }
	lower := func(w *shortage.Work) { w.Class = 2 }
	keptOut := func(w *shortage.Work) { w.KeepOut = true }
	const inTurn, first, deferred = shortage.InTurn, shortage.First, shortage.Deferred

	DescribeTable("the turn of work", func(in shortage.Input, want ...shortage.Turn) {
		Expect(shortage.Turns(in)).To(Equal(want))
	},
		Entry("is its deadline's if room is released in time", shortage.Input{Waiting: list(work(1, early)), Running: full}, inTurn),
		Entry("is after the others if no room is released in time", shortage.Input{Waiting: list(work(0.6, now), work(0.5, now)), Running: halfFull}, deferred, inTurn),
		Entry("is after the others if it needs the most room, although its deadline is the first",
			shortage.Input{Waiting: list(work(0.9, early), work(0.5, later), work(0.5, later)), Running: full}, deferred, inTurn, inTurn),
		Entry("is its deadline's if others end before it has to start",
			shortage.Input{Waiting: list(work(1, early), work(1, 2*early), work(1, 3*early)), Running: full}, inTurn, inTurn, inTurn),
		Entry("counts what classes before it need", shortage.Input{Waiting: list(work(1, early), with(work(0.1, later), lower)), Running: full}, inTurn, deferred),
		Entry("counts late work of classes before it, which is not deferred", shortage.Input{Waiting: list(work(1, late), with(work(0.1, later), lower)), Running: full}, inTurn, deferred),
		Entry("is its deadline's if it may not be deferred", shortage.Input{Waiting: list(with(work(0.9, early), fixed), work(0.5, early)), Running: full}, inTurn, deferred),
		Entry("counts room that is kept from it", shortage.Input{Waiting: list(with(work(0.5, now), keptOut)), Running: halfFull, Kept: 0.1}, deferred),
		Entry("is the first if its account's work was late more often",
			shortage.Input{Waiting: list(work(0.4, early), with(work(0.9, early), other)), Running: full, Past: list(with(work(0.5, late), other), with(work(0.5, late), other), work(0.5, now))}, deferred, first),
		Entry("is the first if work of its size was late more often",
			shortage.Input{Waiting: list(work(0.4, early), work(0.9, early)), Running: full, Past: list(work(0.1, now), work(0.2, now), work(0.3, now), work(0.9, late))}, deferred, first),
		Entry("is its deadline's if the forecast ends before it has to start", shortage.Input{Waiting: list(work(1, muchLate)), Running: full}, inTurn),
	)

	It("is not decided if everything fits", func() {
		Expect(shortage.Turns(shortage.Input{Waiting: list(work(0.5, late), work(0.5, now))})).To(BeNil())
		Expect(shortage.Turns(shortage.Input{})).To(BeNil())
	})

	// Guards against a search for the size of work that runs past the last size.
	It("is decided whatever the durations are", func() {
		for _, duration := range []clock.Millis{math.MinInt64, -1, 0, clock.Longest, math.MaxInt64} {
			odd := with(work(1, late), func(w *shortage.Work) { w.Duration = duration })
			for _, past := range [][]shortage.Work{list(odd), list(odd, odd, odd), list(work(1, now), odd)} {
				turns := shortage.Turns(shortage.Input{Waiting: list(work(1, now), odd, with(odd, func(w *shortage.Work) { w.Slack = now })), Running: full, Past: past})
				Expect(turns).To(HaveLen(3))
			}
		}
	})

	It("is the same for the same input, and never harms fixed work, whatever the loads", func() {
		for n := range 200 {
			var in shortage.Input
			for i := range n {
				w := work(float64(1+i*7%13)/20, clock.Millis(i*37%900)*10-500)
				w.Class, w.Account, w.Fixed = i%3, fmt.Sprint(i%4), i%5 == 0
				in.Waiting = append(in.Waiting, w)
			}
			in.Past = in.Waiting[:n/2]
			turns := shortage.Turns(in)
			Expect(shortage.Turns(in)).To(Equal(turns))
			for i, turn := range turns {
				Expect(turn == deferred && (in.Waiting[i].Fixed || in.Waiting[i].Slack < 0)).To(BeFalse())
			}
		}
	})
})
