package fleet

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/inflight"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/roster"
	"github.com/chestnutsail/chestnutsail/stored"
)

const (
	// reservedFiles is the number of descriptors that the platform keeps for files.
	reservedFiles = 200
	// clientDescriptors is the share of the other descriptors that clients' connections may use. The rest
	// is for the instance's own connections to workers, the store and other instances.
	clientDescriptors = 0.5
	// clientMemory is the share of the process's memory that clients' connections may use, bodiesMemory that
	// of the bodies of their requests.
	clientMemory = 0.25
	bodiesMemory = 0.125
	// connMemory is the memory in bytes of one connection: buffers, stacks, a head of maxHeadLines and
	// freeBody.
	connMemory = 96 << 10
	// freeBody is the memory in bytes of a small body.
	freeBody = bodyMemory * smallBody
	// stallTime is the time in milliseconds without a byte after which a body makes way for another one.
	stallTime = 500 * clock.Millisecond
)

// clientShare is the part of what clients may use that one address of the instance gets.
type clientShare struct{ conns, bodies float64 }

// The shares of the addresses. Only callers and other instances send bodies.
var (
	callerShare  = clientShare{conns: 0.5, bodies: 0.5}
	peerShare    = clientShare{conns: 0.375, bodies: 0.5}
	healthShare  = clientShare{conns: 0.0625}
	metricsShare = clientShare{conns: 0.0625}
)

// clientBounds returns the bounds for the clients of one address. What the settings don't limit is not
// bounded.
func clientBounds(s platform.Settings, share clientShare) inflight.Options {
	conns := 0.0
	if s.MemoryLimit > 0 {
		conns = clientMemory * float64(s.MemoryLimit) / connMemory
	}
	if sockets := float64(s.Descriptors - reservedFiles); s.Descriptors > 0 {
		if own := clientDescriptors * max(sockets, 1); conns == 0 || own < conns {
			conns = own
		}
	}
	bounds := inflight.Options{Bytes: int64(share.bodies * bodiesMemory * float64(s.MemoryLimit)), Free: freeBody, Stall: stallTime}
	if conns > 0 {
		bounds.Conns = max(int(share.conns*conns), 1)
	}
	return bounds
}

// Reasons for which a client is refused or its connection is closed.
const (
	refusedConnection = "connections"
	refusedIdle       = "idle"
	refusedHead       = "head"
	refusedBody       = "memory"
	refusedSlowBody   = "slow"
)

func (i *Instance) countRefusal(reason string) {
	i.counters.Counter(`chestnutsail_clients_refused_total{reason="` + reason + `"}`).Inc()
}

// storedLimit returns the limit on the memory of the accounts' stored jobs, which every instance keeps.
func storedLimit(s platform.Settings, others []roster.Instance) stored.Limit {
	memories := []int64{s.MemoryLimit}
	for _, o := range others {
		memories = append(memories, int64(o.Memory)<<20)
	}
	return stored.LimitOf(memories...)
}
