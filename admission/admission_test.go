package admission_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/admission"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestAdmission(t *testing.T) { suite.Run(t, "admission") }

// semaphore is a fixed number of units of capacity that all keys share.
type semaphore struct{ free int }

func (s *semaphore) acquire(string) bool {
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

func (s *semaphore) release(string) { s.free++ }

var _ = Describe("an admission queue", func() {
	newQueue := func(free, limit int, weights map[string]int) *admission.Queue[string] {
		s := &semaphore{free: free}
		return admission.New(admission.Options[string]{
			Acquire: s.acquire, Release: s.release, Limit: limit,
			Weight: func(k string) int { return weights[k] },
		})
	}

	It("admits keys in proportion to their weights, however many requests of one key wait", func() {
		q := newQueue(1, 500, map[string]int{"large": 3, "small": 1})
		ctx, cancel := context.WithCancel(context.Background())
		Expect(q.Enter(ctx, "first")).To(Succeed())
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		queue := func(k string, n int) {
			for range n {
				wg.Go(func() {
					if q.Enter(ctx, k) == nil {
						mu.Lock()
						order = append(order, k)
						mu.Unlock()
					}
				})
			}
			Eventually(func() int { return q.Waiting(k) }).Should(Equal(n))
		}
		queue("small", 400)
		queue("large", 40)
		last := "first"
		for i := range 40 {
			q.Leave(last)
			Eventually(func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(order)
			}).WithPolling(time.Millisecond).Should(Equal(i + 1))
			last = order[i]
		}
		large := 0
		for _, k := range order[:40] {
			if k == "large" {
				large++
			}
		}
		Expect(large).To(BeNumerically("~", 30, 1))
		cancel()
		wg.Wait()
	})

	It("refuses a request at once when the queue of its key is full, and only for that key", func() {
		q := newQueue(1, 2, nil)
		ctx, cancel := context.WithCancel(context.Background())
		Expect(q.Enter(ctx, "a")).To(Succeed())
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { _ = q.Enter(ctx, "a") })
		}
		Eventually(func() int { return q.Waiting("a") }).Should(Equal(2))
		Expect(q.Enter(ctx, "a")).To(MatchError(admission.ErrFull))
		wg.Go(func() { _ = q.Enter(ctx, "b") })
		Eventually(func() int { return q.Waiting("b") }).Should(Equal(1))
		cancel()
		wg.Wait()
		Expect(q.Waiting("a") + q.Waiting("b")).To(BeZero())
	})

	It("gives capacity to the next request when a waiting one has timed out", func() {
		q := newQueue(1, 10, nil)
		Expect(q.Enter(context.Background(), "a")).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		Expect(q.Enter(ctx, "b")).To(MatchError(context.DeadlineExceeded))
		q.Leave("a")
		Expect(q.Enter(context.Background(), "b")).To(Succeed())
	})
})
