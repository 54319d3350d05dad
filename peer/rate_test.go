package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/token"
)

// BenchmarkMesh runs entries in one process for ten seconds each and reports, per
// entry, the bytes a second that it sends as frames and the processor time, and the
// time until a new revision is known everywhere.
func BenchmarkMesh(b *testing.B) {
	for _, n := range []int{3, 9, 18, 36} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measure(b, n)
			}
		})
	}
}

func measure(b *testing.B, n int) {
	const span = 10 * time.Second
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	var meshes []*peer.Mesh
	var counts []*counters.Counters
	var first string
	for i := range n {
		var mesh *peer.Mesh
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { mesh.ServeHTTP(w, r) }))
		opts := peer.Options{
			Name: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3)), Address: server.Listener.Addr().String(),
			Tokens: token.New(secret), Counters: counters.New(), Log: logrus.NewEntry(log),
		}
		if first != "" {
			opts.Seeds = []string{first}
		} else {
			first = opts.Address
		}
		mesh = peer.New(opts)
		server.Start()
		meshes, counts = append(meshes, mesh), append(counts, opts.Counters)
		defer func() {
			_ = mesh.Stop(context.Background())
			server.Close()
		}()
	}
	for _, m := range meshes {
		for len(m.Peers()) < n-1 {
			time.Sleep(10 * time.Millisecond)
		}
		m.Revise(1_796_000_000)
	}
	time.Sleep(12 * time.Second)
	bytes, frames, spent := sent(counts), sentFrames(counts), cpu()
	time.Sleep(span)
	nodes := float64(n) * span.Seconds()
	b.ReportMetric(float64(sent(counts)-bytes)/nodes, "B/s/entry")
	b.ReportMetric(float64(sentFrames(counts)-frames)/nodes, "frames/s/entry")
	b.ReportMetric(float64((cpu()-spent).Microseconds())/nodes/1e4, "%core/entry")
	begin := clock.New()
	start := begin.Now()
	meshes[0].Revise(1_796_000_001)
	for _, m := range meshes[1:] {
		for !knows(m, 1_796_000_001) {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(begin.Now()-start), "ms-news")
}

func knows(m *peer.Mesh, revision uint64) bool {
	for _, p := range m.Peers() {
		if p.Revision == revision {
			return true
		}
	}
	return false
}

func sent(counts []*counters.Counters) uint64 { return total(counts, "bytes") }

func sentFrames(counts []*counters.Counters) uint64 { return total(counts, "frames") }

func total(counts []*counters.Counters, unit string) uint64 {
	var sum uint64
	for _, c := range counts {
		for _, kind := range []string{"hello", "beat", "call", "answer", "fault", "cast"} {
			sum += c.Counter(fmt.Sprintf(`chestnutsail_peer_%s_total{kind=%q,way="out"}`, unit, kind)).Get()
		}
	}
	return sum
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
