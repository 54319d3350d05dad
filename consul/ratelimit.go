package consul

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

// ErrOverBudget refuses a call for which this instance's share of the store's rate
// is used up.
var ErrOverBudget = errors.New("over the instance's share of the store's rate")

// priority orders calls by how much depends on them, the most first.
type priority int

const (
	claimPriority priority = iota
	recordPriority
	textPriority
	termPriority
	watchPriority
	priorityCount
)

const (
	// reservedRate is what each class may always use, in calls per second.
	reservedRate = 2.0
	// maxQueueTime bounds the time in milliseconds that a call waits for its turn.
	maxQueueTime  = 2 * clock.Second
	minRetryDelay = 5 * clock.Millisecond
	// burstSeconds is the part of a second's calls that may be saved up.
	burstSeconds = 0.2
)

// priorityOf tells the class of a call by its key.
func priorityOf(key string) priority {
	prefix, _, _ := strings.Cut(key, "/")
	switch prefix {
	case "claim":
		return claimPriority
	case "text":
		return textPriority
	case "term":
		return termPriority
	default:
		return recordPriority
	}
}

// rateLimiter is this instance's share of the store's rate in one direction. Each class
// has a floor of its own; what is beyond that goes to the classes in their order,
// since a class must leave more of it untouched the later it comes.
type rateLimiter struct {
	rate  float64
	clock *clock.Clock

	mu             sync.Mutex
	sharedTokens   float64
	reservedTokens [priorityCount]float64
	lastRefill     clock.Millis
}

// newRateLimiter returns a share of rate calls per second, or nil when rate is 0: no bound.
func newRateLimiter(rate float64, c *clock.Clock) *rateLimiter {
	if rate <= 0 {
		return nil
	}
	s := &rateLimiter{rate: rate, clock: c, sharedTokens: rate * burstSeconds, lastRefill: c.Now()}
	for i := range s.reservedTokens {
		s.reservedTokens[i] = reservedRate
	}
	return s
}

// wait waits for the turn of one call. It returns ErrOverBudget when that does not
// come within maxQueue or before ctx ends.
func (s *rateLimiter) wait(ctx context.Context, p priority) error {
	if s == nil {
		return nil
	}
	deadline := s.clock.Now() + maxQueueTime
	for !s.tryTake(p) {
		pause := max(clock.Millis(float64(clock.Second)/s.rate), minRetryDelay)
		if s.clock.Now()+pause > deadline || !clock.Sleep(ctx, pause) {
			return ErrOverBudget
		}
	}
	return nil
}

func (s *rateLimiter) tryTake(p priority) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	elapsedSeconds := float64(now-s.lastRefill) / float64(clock.Second)
	s.lastRefill = now
	s.sharedTokens = min(s.sharedTokens+elapsedSeconds*s.rate, max(s.rate*burstSeconds, 1))
	for i := range s.reservedTokens {
		s.reservedTokens[i] = min(s.reservedTokens[i]+elapsedSeconds*reservedRate, reservedRate)
	}
	reserve := s.rate * burstSeconds * float64(p) / float64(2*priorityCount)
	switch {
	case s.sharedTokens-1 >= reserve:
		s.sharedTokens--
	case s.reservedTokens[p] >= 1:
		s.reservedTokens[p]--
	default:
		return false
	}
	return true
}
