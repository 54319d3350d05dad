package consul

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

// ErrRateLimited means that a call was not sent, since this instance has used up its share of
// the store's rate of calls.
var ErrRateLimited = errors.New("over the instance's share of the store's rate")

// priority is the priority of a call to the store, the highest first.
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
	// reservedRate is the rate in calls per second that is reserved for each priority.
	reservedRate = 2.0
	// maxQueueTime is the longest time in milliseconds that a call waits for a token.
	maxQueueTime  = 2 * clock.Second
	minRetryDelay = 5 * clock.Millisecond
	// burstSeconds is the time in seconds for which unused tokens accumulate.
	burstSeconds = 0.2
)

// priorityOf returns the priority of a call, which depends on the prefix of its key.
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

// rateLimiter is a token bucket that limits the reads or the writes of this instance to its
// share of the store's rate. Calls of all priorities take tokens from a shared bucket. The
// lower its priority, the more tokens a call has to leave there for others. In addition
// each priority has a small bucket of its own, so that none of them starves.
type rateLimiter struct {
	rate  float64
	clock *clock.Clock

	mu             sync.Mutex
	sharedTokens   float64
	reservedTokens [priorityCount]float64
	lastRefill     clock.Millis
}

// newRateLimiter returns a limiter of rate calls per second. It returns nil, which does not
// limit calls, if rate is 0.
func newRateLimiter(rate float64, c *clock.Clock) *rateLimiter {
	if rate <= 0 {
		return nil
	}
	l := &rateLimiter{rate: rate, clock: c, sharedTokens: rate * burstSeconds, lastRefill: c.Now()}
	for i := range l.reservedTokens {
		l.reservedTokens[i] = reservedRate
	}
	return l
}

// wait takes a token for one call and waits until there is one. It returns ErrRateLimited if
// there is none within maxQueueTime or before ctx ends.
func (l *rateLimiter) wait(ctx context.Context, p priority) error {
	if l == nil {
		return nil
	}
	deadline := l.clock.Now() + maxQueueTime
	for !l.tryTake(p) {
		delay := max(clock.Millis(float64(clock.Second)/l.rate), minRetryDelay)
		if l.clock.Now()+delay > deadline || !clock.Sleep(ctx, delay) {
			return ErrRateLimited
		}
	}
	return nil
}

func (l *rateLimiter) tryTake(p priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	elapsedSeconds := float64(now-l.lastRefill) / float64(clock.Second)
	l.lastRefill = now
	l.sharedTokens = min(l.sharedTokens+elapsedSeconds*l.rate, max(l.rate*burstSeconds, 1))
	for i := range l.reservedTokens {
		l.reservedTokens[i] = min(l.reservedTokens[i]+elapsedSeconds*reservedRate, reservedRate)
	}
	reserve := l.rate * burstSeconds * float64(p) / float64(2*priorityCount)
	switch {
	case l.sharedTokens-1 >= reserve:
		l.sharedTokens--
	case l.reservedTokens[p] >= 1:
		l.reservedTokens[p]--
	default:
		return false
	}
	return true
}
