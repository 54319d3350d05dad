package health_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/health"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestHealth(t *testing.T) { suite.Run(t, "health") }

var _ = Describe("a monitor", func() {
	const (
		working = iota
		refusing
		silent
	)
	var state atomic.Int32

	probe := func(ctx context.Context) error {
		switch state.Load() {
		case refusing:
			return errors.New("refused")
		case silent:
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}

	DescribeTable("reports a dependency as unreachable, and as reachable again",
		func(fault int32) {
			state.Store(working)
			log := logrus.New()
			log.SetOutput(GinkgoWriter)
			m := health.New(health.Options{
				Name: "store", Probe: probe, Period: 20 * clock.Millisecond, LossTimeout: 100 * clock.Millisecond,
				Clock: clock.New(), Log: logrus.NewEntry(log),
			})
			DeferCleanup(m.Stop)
			Eventually(m.OK).Should(BeTrue())
			state.Store(fault)
			Eventually(m.OK, time.Second).Should(BeFalse())
			state.Store(working)
			Eventually(m.OK, time.Second).Should(BeTrue())
		},
		Entry("when it refuses requests", int32(refusing)),
		Entry("when it stops answering", int32(silent)),
	)
})
