package intake_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/workflow"
)

func TestIntake(t *testing.T) { suite.Run(t, "intake") }

var _ = Describe("the count of waiting jobs", func() {
	DescribeTable("of an instance whose local view is",
		func(age clock.Millis, verdict intake.Verdict, pending int) {
			store := platformtest.NewStore()
			DeferCleanup(store.Close)
			log := logrus.New()
			log.SetOutput(GinkgoWriter)
			jobs := board.New(nil)
			jobs.Add(kv.Entry{Key: board.RecordKey("1"), Value: workflow.Encode(workflow.Record{Queue: "q"})})
			handler := intake.New(intake.Options{
				Store: platform.NewStore(platform.StoreOptions{Address: store.Address()}), Board: jobs,
				Age:    func() clock.Millis { return age },
				Config: func() *site.Config { return &site.Config{} },
				Clock:  clock.New(), Log: logrus.NewEntry(log),
			})
			DeferCleanup(handler.Stop)
			answer := handler.Pending(intake.Grant{Queue: site.Queue{Name: "q"}})
			Expect(answer.Verdict).To(Equal(verdict))
			Expect(answer.Pending).To(Equal(pending))
		},
		Entry("new", 100*clock.Millisecond, intake.OK, 1),
		Entry("as old as allowed", 2*clock.Second, intake.OK, 1),
		Entry("too old", 2001*clock.Millisecond, intake.NotReady, 0),
		Entry("not loaded yet", clock.Hour, intake.NotReady, 0),
	)
})
