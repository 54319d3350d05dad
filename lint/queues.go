package lint

import (
	"net"
	"strings"

	"github.com/chestnutsail/chestnutsail/site"
)

// idDigits is the number of hexadecimal digits of a job's ID, which follows the prefix in a path.
const idDigits = 16

func (c *checker) checkQueues() {
	names := make(map[string]bool)
	for i, q := range c.cfg.Queues {
		at := place("queue", q.Name, i)
		switch {
		case q.Name == "":
			c.failf(at, "the queue has no name")
		case names[q.Name]:
			c.failf(at, "another queue has the same name")
		}
		names[q.Name] = true
		c.checkAddress(at, q)
		c.checkNumbers(at, q)
		c.checkOverlaps(at, i)
	}
}

func (c *checker) checkAddress(at string, q site.Queue) {
	if q.Host == "" {
		c.failf(at, "the queue has no host")
	} else if _, port, err := net.SplitHostPort(q.Host); err == nil {
		c.failf(at, "no call matches the host %q, since calls are matched without their port; remove :%s", q.Host, port)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.failf(at, "the prefix %q does not begin with /", q.Prefix)
	}
	if q.Service == "" {
		c.failf(at, "the queue has no service")
	}
	if !q.Public && !c.anyKey() {
		c.failf(at, "nobody can use the queue: it is not public, and no account has a key")
	}
}

func (c *checker) checkNumbers(at string, q site.Queue) {
	if q.Attempts < 1 {
		c.failf(at, "%d attempts; want 1 or more", q.Attempts)
	}
	if q.Target < 0 {
		c.failf(at, "the target is %d ms, a negative time", q.Target)
	}
	if q.ObjectiveFactor < 0 {
		c.failf(at, "the objective factor is %g, a negative number", q.ObjectiveFactor)
	}
	if q.Priority < 0 {
		c.failf(at, "the priority is %d, a negative number", q.Priority)
	}
	if q.Target == 0 && q.ObjectiveFactor >= 0 && q.ObjectiveFactor < 1 {
		c.warnf(at, "no job can meet its objective: the target is 0, and the objective factor %g allows less than the predicted run time", q.ObjectiveFactor)
	}
}

// checkOverlaps reports the calls that the queue at position i does not get because of others.
// Queues without a valid prefix have a finding already.
func (c *checker) checkOverlaps(at string, i int) {
	q := c.cfg.Queues[i]
	if !strings.HasPrefix(q.Prefix, "/") {
		return
	}
	for j, other := range c.cfg.Queues {
		if i == j || other.Host != q.Host {
			continue
		}
		rest, extends := strings.CutPrefix(other.Prefix, q.Prefix)
		winner := place("queue", other.Name, j)
		switch {
		case extends && rest == "" && j < i:
			c.failf(at, "no call reaches the queue: %s comes before it and has the same host and prefix", winner)
			return
		case extends && rest != "" && isIDStart(rest):
			c.warnf(at, "calls for IDs that begin with %q do not reach the queue, since %s has the longer prefix %q", rest, winner, other.Prefix)
		}
	}
}

// isIDStart reports whether an ID can begin with s.
func isIDStart(s string) bool {
	return len(s) <= idDigits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}
