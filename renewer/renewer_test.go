package renewer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/worker"
)

func TestRenewer(t *testing.T) { suite.Run(t, "renewer") }

// agent holds each renewal for as long as it is asked to wait and counts them.
type agent struct{ renewals atomic.Int64 }

func (a *agent) Renew(ctx context.Context, r worker.Renewal) (worker.Report, error) {
	a.renewals.Add(1)
	clock.Sleep(ctx, r.Wait)
	return worker.Report{Name: "a-1"}, ctx.Err()
}

func (*agent) Stop(context.Context, worker.Stop) (worker.Task, error) { return worker.Task{}, nil }

type line struct{}

func (line) Deliver(context.Context, renewer.Event) error { return nil }
func (line) Spread(context.Context, renewer.Notice)       {}

var _ = Describe("a renewer", func() {
	It("asks a worker on which nothing ever changed once a period", func() {
		a := &agent{}
		r := renewer.New(renewer.Options{
			Name: "e1", Line: line{}, Period: clock.Second,
			Workers: func() []renewer.Target { return []renewer.Target{{Name: "a-1", Agent: a}} },
			Entries: func() []string { return nil },
			Term:    func() int64 { return 1 },
		})
		DeferCleanup(func() { _ = r.Stop(context.Background()) })
		Eventually(a.renewals.Load).Should(BeNumerically(">=", 2))
		time.Sleep(500 * time.Millisecond)
		Expect(a.renewals.Load()).To(BeNumerically("<=", 4))
	})
})
