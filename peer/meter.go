package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutsail/chestnutsail/counters"
)

// drop says why a connection was closed. The set is closed.
type drop string

const (
	dropUnauthorized drop = "unauthorized"
	dropMalformed    drop = "malformed"
	dropTooLarge     drop = "too_large"
	dropSilent       drop = "silent"
	dropSlow         drop = "slow"
	dropLost         drop = "lost"
	dropReplaced     drop = "replaced"
	dropIdle         drop = "idle"
	dropSelf         drop = "self"
	dropStopped      drop = "stopped"
)

func drops() []drop {
	return []drop{
		dropUnauthorized, dropMalformed, dropTooLarge, dropSilent, dropSlow,
		dropLost, dropReplaced, dropIdle, dropSelf, dropStopped,
	}
}

// way is a direction in which a frame travels.
type way int

const (
	out way = iota
	in
)

// traffic counts the frames of one kind in one direction.
type traffic struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

type meter struct {
	traffic    map[kind][2]traffic
	drops      map[drop]*metrics.Counter
	duplicates *metrics.Counter
}

func newMeter(c *counters.Counters) meter {
	m := meter{
		traffic: make(map[kind][2]traffic), drops: make(map[drop]*metrics.Counter),
		duplicates: c.Counter("chestnutsail_peer_duplicates_total"),
	}
	for k, name := range kindNames {
		var both [2]traffic
		for i, w := range []string{"out", "in"} {
			both[i] = traffic{
				frames: c.Counter(fmt.Sprintf(`chestnutsail_peer_frames_total{kind=%q,way=%q}`, name, w)),
				bytes:  c.Counter(fmt.Sprintf(`chestnutsail_peer_bytes_total{kind=%q,way=%q}`, name, w)),
			}
		}
		m.traffic[k] = both
	}
	for _, d := range drops() {
		m.drops[d] = c.Counter(fmt.Sprintf(`chestnutsail_peer_dropped_total{reason=%q}`, d))
	}
	return m
}

func (m meter) count(k kind, w way, size int) {
	t := m.traffic[k][w]
	t.frames.Inc()
	t.bytes.Add(size)
}
