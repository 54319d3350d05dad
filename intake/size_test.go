package intake_test

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a job whose record may be too large for the store", func() {
	// Guards against submissions that are refused again and again with an answer that suggests a retry.
	DescribeTable("is answered at once",
		func(label int, want intake.Verdict) {
			store := platformtest.NewStore()
			DeferCleanup(store.Close)
			store.SetMaxValue(2048)
			log := logrus.New()
			log.SetOutput(GinkgoWriter)
			h := intake.New(intake.Options{
				Store: platform.NewStore(platform.StoreOptions{Address: store.Address()}), MaxValue: 2048, Board: board.New(nil),
				Config: func() *site.Config { return &site.Config{} }, Clock: clock.New(), Log: logrus.NewEntry(log),
			})
			DeferCleanup(h.Stop)
			answer := h.Submit(context.Background(), intake.Grant{ID: "5c0e7a21d94b36f8"}, workflow.Spec{
				Payload: "p", Steps: []workflow.Step{{Count: 1, Label: strings.Repeat("x", label)}},
			})
			Expect(answer.Verdict).To(Equal(want))
			Expect(answer.RetryAfter).To(BeZero())
			Expect(store.TooLarge()).To(BeZero())
			Expect(store.Value(board.RecordKey("5c0e7a21d94b36f8")) != nil).To(Equal(want == intake.OK))
		},
		Entry("if it fits", 1024, intake.OK),
		Entry("if it does not", 4096, intake.Invalid),
	)
})
