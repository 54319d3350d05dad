package heartbeat_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/heartbeat"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestHeartbeat(t *testing.T) { suite.Run(t, "heartbeat") }

// watched is a leader of term 7 and an instance that watches it.
type watched struct {
	renews, unreachable, unwatched atomic.Bool
	// answerDelay is in milliseconds.
	answerDelay, calls, failed atomic.Int64
	progress                   atomic.Uint64
	term                       atomic.Uint64
	address                    string
	clock                      *clock.Clock
	// cutOffAt is when the store last answered, in milliseconds, if unreachable is set.
	cutOffAt atomic.Int64
}

func (w *watched) storeAnsweredAt() clock.Millis {
	if w.unreachable.Load() {
		return clock.Millis(w.cutOffAt.Load())
	}
	return w.clock.Now()
}

func watch() *watched {
	w := &watched{clock: clock.New()}
	w.renews.Store(true)
	w.term.Store(7)
	handler := heartbeat.NewHandler(func(term uint64) bool { return term == 7 && w.renews.Load() })
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.calls.Add(1)
		time.Sleep(time.Duration(w.answerDelay.Load()) * time.Millisecond)
		handler.ServeHTTP(rw, r)
	}))
	w.address = server.Listener.Addr().String()
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	m := heartbeat.New(heartbeat.Options{
		Leader: func() (heartbeat.Leader, bool) {
			return heartbeat.Leader{Address: w.address, Term: w.term.Load(), Lease: 3}, true
		},
		Watches: func() bool { return !w.unwatched.Load() }, StoreAnsweredAt: w.storeAnsweredAt, Progress: w.progress.Load,
		Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		OnFailed: func(l heartbeat.Leader) {
			if l.Lease == 3 {
				w.failed.Add(1)
			}
		},
		Clock: w.clock, Log: logrus.NewEntry(log),
	})
	DeferCleanup(func(ctx context.Context) {
		_ = m.Stop(ctx)
		server.Close()
	})
	Eventually(w.calls.Load, time.Second).Should(BeNumerically(">", 0))
	return w
}

var _ = Describe("the watch of a leader", func() {
	DescribeTable("reports a leader that",
		func(fails func(w *watched)) {
			w := watch()
			fails(w)
			Eventually(w.failed.Load, 3*time.Second).Should(BeEquivalentTo(1))
			Consistently(w.failed.Load, time.Second).Should(BeEquivalentTo(1), "it rests after a report")
		},
		Entry("does not renew its lease", func(w *watched) { w.renews.Store(false) }),
		Entry("does not answer in time", func(w *watched) { w.answerDelay.Store(500) }),
		Entry("is a new process that leads no more", func(w *watched) { w.term.Store(6) }),
	)

	DescribeTable("does not report a leader",
		func(prepare func(w *watched)) {
			w := watch()
			prepare(w)
			Consistently(w.failed.Load, 1500*time.Millisecond).Should(BeZero())
		},
		Entry("that renews its lease", func(*watched) {}),
		Entry("from which this instance is cut off as from the store, which is noticed later", func(w *watched) {
			w.cutOffAt.Store(int64(w.clock.Now()))
			w.unreachable.Store(true)
			w.renews.Store(false)
		}),
		Entry("that others watch", func(w *watched) {
			w.unwatched.Store(true)
			w.renews.Store(false)
		}),
		Entry("that fails to answer once", func(w *watched) {
			w.renews.Store(false)
			time.Sleep(150 * time.Millisecond)
			w.renews.Store(true)
		}),
		Entry("that is slow to answer but goes on writing", func(w *watched) {
			w.answerDelay.Store(500)
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			go func() {
				for clock.Sleep(ctx, 50*clock.Millisecond) {
					w.progress.Add(1)
				}
			}()
		}),
	)
})
