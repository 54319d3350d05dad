package intake_test

import (
	"context"
	"time"

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
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against callers that ask at the end of a job's last task, are told that it is running
// because this instance has not heard of the end yet, and come back a quarter of a second later.
var _ = DescribeTable("a query of a running job whose end is recorded in a few milliseconds",
	func(reachable bool, want workflow.State, longest time.Duration) {
		ctx := context.Background()
		standIn := platformtest.NewStore()
		DeferCleanup(standIn.Close)
		store := platform.NewStore(platform.StoreOptions{Address: standIn.Address()})
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		progress := func(s workflow.State) []byte { return workflow.Encode(workflow.Progress{State: s}) }
		version, err := store.Commit(ctx, []kv.Op{{Key: board.ProgressKey("1"), Value: progress(workflow.Running)}})
		Expect(err).NotTo(HaveOccurred())
		jobs := board.New(nil)
		jobs.Add(
			kv.Entry{Key: board.RecordKey("1"), Value: workflow.Encode(workflow.Record{Queue: "q"})},
			kv.Entry{Key: board.ProgressKey("1"), Value: progress(workflow.Running), Version: version},
		)
		handler := intake.New(intake.Options{
			Store: store, Board: jobs, Reachable: func() bool { return reachable },
			Config: func() *site.Config { return &site.Config{} }, Clock: clock.New(), Log: logrus.NewEntry(log),
		})
		DeferCleanup(handler.Stop)
		time.AfterFunc(10*time.Millisecond, func() {
			_, _ = store.Commit(ctx, []kv.Op{{Key: board.ProgressKey("1"), Version: version, Value: progress(workflow.Completed)}})
		})
		start := time.Now()
		answer := handler.State(ctx, intake.Grant{ID: "1", Queue: site.Queue{Name: "q"}})
		Expect(time.Since(start)).To(BeNumerically("<", longest))
		Expect(answer).To(And(HaveField("Verdict", intake.OK), HaveField("State", want)))
	},
	Entry("is told of the end", true, workflow.Completed, time.Second),
	Entry("is answered at once while the store is away", false, workflow.Running, 20*time.Millisecond),
)
