package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutsail/chestnutsail/counters"
)

// dropReason is the reason for which a connection was closed. The values are those of a
// metric's label; the function dropReasons lists all of them.
type dropReason string

const (
	dropUnauthorized dropReason = "unauthorized"
	dropMalformed    dropReason = "malformed"
	dropTooLarge     dropReason = "too_large"
	dropSilent       dropReason = "silent"
	dropSlow         dropReason = "slow"
	dropLost         dropReason = "lost"
	dropReplaced     dropReason = "replaced"
	dropIdle         dropReason = "idle"
	dropSelf         dropReason = "self"
	dropStopped      dropReason = "stopped"
)

func dropReasons() []dropReason {
	return []dropReason{
		dropUnauthorized, dropMalformed, dropTooLarge, dropSilent, dropSlow,
		dropLost, dropReplaced, dropIdle, dropSelf, dropStopped,
	}
}

// direction is the direction of a frame as seen from this entry.
type direction int

const (
	directionOut direction = iota
	directionIn
)

// traffic holds the counters of the frames of one kind in one direction.
type traffic struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

type meshMetrics struct {
	traffic     map[frameKind][2]traffic
	dropReasons map[dropReason]*metrics.Counter
	duplicates  *metrics.Counter
}

func newMeshMetrics(c *counters.Counters) meshMetrics {
	m := meshMetrics{
		traffic: make(map[frameKind][2]traffic), dropReasons: make(map[dropReason]*metrics.Counter),
		duplicates: c.Counter("chestnutsail_peer_duplicates_total"),
	}
	for k, name := range kindNames {
		var byDirection [2]traffic
		for i, directionName := range []string{"out", "in"} {
			byDirection[i] = traffic{
				frames: c.Counter(fmt.Sprintf(`chestnutsail_peer_frames_total{kind=%q,way=%q}`, name, directionName)),
				bytes:  c.Counter(fmt.Sprintf(`chestnutsail_peer_bytes_total{kind=%q,way=%q}`, name, directionName)),
			}
		}
		m.traffic[k] = byDirection
	}
	for _, d := range dropReasons() {
		m.dropReasons[d] = c.Counter(fmt.Sprintf(`chestnutsail_peer_dropped_total{reason=%q}`, d))
	}
	return m
}

func (m meshMetrics) count(k frameKind, d direction, size int) {
	t := m.traffic[k][d]
	t.frames.Inc()
	t.bytes.Add(size)
}
