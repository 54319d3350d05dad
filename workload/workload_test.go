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
		It("keep every promise under our core: "+w.Name, func() {
			r := workload.Run(scheduler.New(scheduler.Options{Domain: "a"}), w)
			Expect(r.Against).To(BeZero(), "work was started against a promise")
			Expect(r.UrgentLate).To(BeZero(), "urgent work started after the bound")
			Expect(r.Unfinished).To(BeZero(), "jobs never ended")
		})
	}

	for _, prefer := range []int{50, 75} {
		for seed := range uint64(3) {
			for _, w := range workload.All(seed + 1) {
				if w.Name != "perth morning" && w.Name != "half canceled" {
					continue
				}
				It(fmt.Sprintf("wait for a guarantee within the bound: %s, seed %d, prefer %d", w.Name, seed+1, prefer), func() {
					w.Text.Prefer = prefer
					r := workload.Run(scheduler.New(scheduler.Options{Domain: "a"}), w)
					Expect(r.Late).To(BeZero(), "the longest wait was %s", r.WaitMax)
				})
			}
		}
	}

	It("end under both baselines", func() {
		for _, p := range []baseline.Policy{baseline.FirstFit, baseline.BestFit} {
			r := workload.Run(baseline.New(baseline.Options{Policy: p}), workload.All(seed)[0])
			Expect(r.Unfinished).To(BeZero())
		}
	})
})
