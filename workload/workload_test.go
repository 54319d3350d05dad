package workload_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/baseline"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/workload"
)

func TestWorkload(t *testing.T) { suite.Run(t, "workload") }

const seed = 1

var _ = Describe("the workloads", func() {
	for _, w := range workload.All(seed) {
		It("keep every guarantee under the scheduler core: "+w.Name, func() {
			r := workload.Run(scheduler.New(scheduler.Options{Domain: "a"}), w)
			Expect(r.GuaranteeViolations).To(BeZero(), "unstoppable work was placed beyond its guarantee")
			Expect(r.UrgentLate).To(BeZero(), "urgent work started later than the bound")
			Expect(r.Unfinished).To(BeZero(), "some jobs did not end")
		})
	}

	for _, prefer := range []int{50, 75} {
		for seed := range uint64(3) {
			for _, w := range workload.All(seed + 1) {
				if w.Name != "perth morning" && w.Name != "half canceled" {
					continue
				}
				It(fmt.Sprintf("start guaranteed jobs within the bound: %s, seed %d, prefer %d", w.Name, seed+1, prefer), func() {
					w.Text.Prefer = prefer
					r := workload.Run(scheduler.New(scheduler.Options{Domain: "a"}), w)
					Expect(r.GuaranteedLate).To(BeZero(), "the longest wait was %s", r.GuaranteedWaitMax)
				})
			}
		}
	}

	It("let every job end under both baselines", func() {
		for _, p := range []baseline.Policy{baseline.FirstFit, baseline.BestFit} {
			r := workload.Run(baseline.New(baseline.Options{Policy: p}), workload.All(seed)[0])
			Expect(r.Unfinished).To(BeZero())
		}
	})
})
