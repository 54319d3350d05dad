package slots_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/slots"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSlots(t *testing.T) { suite.Run(t, "slots") }

var _ = Describe("a pool of slots", func() {
	var total int
	fill := func(p *slots.Pool[job.Class], c job.Class) (n int) {
		for p.Acquire(c) {
			n++
		}
		return n
	}
	newPool := func() *slots.Pool[job.Class] {
		total = 100
		return slots.New(slots.Options[job.Class]{
			Total: func() int { return total },
			Floor: map[job.Class]int{job.Quick: 50, job.Urgent: 10},
			Ceiling: func(c job.Class) int {
				if c == job.Sweep {
					return 30
				}
				return total
			},
		})
	}

	It("limits sweeps to their ceiling and leaves the floors of other classes free", func() {
		p := newPool()
		Expect(fill(p, job.Sweep)).To(Equal(30))
		Expect(fill(p, job.Batch)).To(Equal(10))
		Expect(fill(p, job.Quick)).To(Equal(50))
		Expect(fill(p, job.Urgent)).To(Equal(10))
	})

	It("lets a class use free slots above its floor", func() {
		p := newPool()
		Expect(fill(p, job.Quick)).To(Equal(90))
		Expect(p.Acquire(job.Sweep)).To(BeFalse())
		p.Release(job.Quick)
		Expect(p.Acquire(job.Sweep)).To(BeTrue())
	})

	It("keeps the floors free when the total shrinks while slots are held", func() {
		p := newPool()
		fill(p, job.Sweep)
		total = 40
		Expect(p.Acquire(job.Sweep)).To(BeFalse())
		Expect(fill(p, job.Quick)).To(Equal(6), "40 slots, 30 held by sweeps, 4 reserved for urgent work")
	})
})
