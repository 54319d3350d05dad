package controller_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("workers that are cut off", func() {
	It("do not hold up the orders of others", func() {
		w := newWorldOf(1, 10000)
		w.addTo("", "r2-1", "i-9")
		i := w.join(nil)
		Eventually(i.leads, soon).Should(BeTrue())
		warm := step(1)
		warm.Label = "r2-1"
		i.submit(jobID(1), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{warm}})
		Eventually(func() workflow.State { return i.state(jobID(1)) }, soon).Should(Equal(workflow.Completed))
		w.workers[0].Silence(true)
		cut := step(60)
		cut.Accels, cut.Label = 0, "r1-1"
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{cut}})
		time.Sleep(1500 * time.Millisecond) // the first orders are without an answer
		i.submit(jobID(3), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{warm}})
		Eventually(w.workers[1].Running, 500*time.Millisecond).Should(Equal(1))
	})

	It("are told from one whose process has ended: its runs start elsewhere at once", func() {
		w := newWorldOf(1, 10000)
		i := w.join(nil)
		Eventually(i.leads, soon).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(w.workers[0].Running, soon).Should(Equal(1))
		w.add("i-9")
		time.Sleep(1500 * time.Millisecond) // a look waits there
		w.workers[0].Close()
		Eventually(w.workers[1].Running, 1500*time.Millisecond).Should(Equal(1))
	})

	It("do not take idle workers of their failure domain along that answer", func() {
		w := newWorldOf(1, 10000)
		for n := range 4 {
			w.addTo("b", "r2-1", fmt.Sprint("b-", n))
		}
		i := w.join(nil)
		Eventually(i.leads, soon).Should(BeTrue())
		long := step(3)
		long.Label, long.PerWorker = "r2-1", 1
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{long}})
		var idle *platformtest.Worker
		Eventually(func() int {
			running := 0
			for _, x := range w.workers[1:] {
				running += x.Running()
				if x.Running() == 0 {
					idle = x
				}
			}
			return running
		}, soon).Should(Equal(3))
		for _, x := range w.workers[1:] {
			x.Silence(x != idle)
		}
		time.Sleep(2700 * time.Millisecond) // the answers to looks are due after 2 s
		one := step(1)
		one.Label = "r2-1"
		one.Accels = 8
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{one}})
		Eventually(idle.Running, time.Second).Should(Equal(1))
	})

	It("make their whole failure domain take no new work", func() {
		w := newWorldOf(4, 10000)
		for n := range 4 {
			w.addTo("b", "r2-1", fmt.Sprint("b-", n))
		}
		cut := w.workers[4:]
		i := w.join(nil)
		Eventually(i.leads, soon).Should(BeTrue())
		long := step(4)
		long.Label, long.PerWorker = "r2-1", 1
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{long}})
		for _, x := range cut {
			Eventually(x.Running, soon).Should(Equal(1))
		}
		for _, x := range cut {
			x.Silence(true)
		}
		time.Sleep(2700 * time.Millisecond) // the answers to looks are due after 2 s
		// The silent workers are the tighter ones, and so would be taken first.
		fits := step(4)
		fits.Accels = 7
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{fits}})
		for _, x := range w.workers[:4] {
			Eventually(x.Running, 500*time.Millisecond).Should(Equal(1))
		}
	})
})
