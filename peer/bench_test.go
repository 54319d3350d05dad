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

// BenchmarkMesh runs meshes of several sizes in one process for ten seconds each. Per
// entry and second it reports the bytes and frames sent and the CPU time used, and then
// the time in milliseconds until all entries have received a new revision.
func BenchmarkMesh(b *testing.B) {
	for _, n := range []int{3, 9, 18, 36} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureMesh(b, n)
			}
		})
	}
}

func measureMesh(b *testing.B, entries int) {
	const duration = 10 * time.Second
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	var meshes []*peer.Mesh
	var allCounters []*counters.Counters
	var first string
	for i := range entries {
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
		meshes, allCounters = append(meshes, mesh), append(allCounters, opts.Counters)
		defer func() {
			_ = mesh.Stop(context.Background())
			server.Close()
		}()
	}
	for _, m := range meshes {
		for len(m.Peers()) < entries-1 {
			time.Sleep(10 * time.Millisecond)
		}
		m.AnnounceRevision(1_796_000_000)
	}
	time.Sleep(12 * time.Second)
	bytes, frames, cpuBefore := sentBytes(allCounters), sentFrames(allCounters), cpu()
	time.Sleep(duration)
	entrySeconds := float64(entries) * duration.Seconds()
	b.ReportMetric(float64(sentBytes(allCounters)-bytes)/entrySeconds, "B/s/entry")
	b.ReportMetric(float64(sentFrames(allCounters)-frames)/entrySeconds, "frames/s/entry")
	b.ReportMetric(float64((cpu()-cpuBefore).Microseconds())/entrySeconds/1e4, "%core/entry")
	timer := clock.New()
	start := timer.Now()
	meshes[0].AnnounceRevision(1_796_000_001)
	for _, m := range meshes[1:] {
		for !knowsRevision(m, 1_796_000_001) {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(timer.Now()-start), "ms-news")
}

func knowsRevision(m *peer.Mesh, revision uint64) bool {
	for _, p := range m.Peers() {
		if p.Revision == revision {
			return true
		}
	}
	return false
}

func sentBytes(allCounters []*counters.Counters) uint64 { return sumCounters(allCounters, "bytes") }

func sentFrames(allCounters []*counters.Counters) uint64 { return sumCounters(allCounters, "frames") }

func sumCounters(allCounters []*counters.Counters, unit string) uint64 {
	var sum uint64
	for _, c := range allCounters {
		for _, kind := range []string{"hello", "beat", "call", "answer", "fault", "cast"} {
			sum += c.Counter(fmt.Sprintf(`chestnutsail_peer_%s_total{kind=%q,way="out"}`, unit, kind)).Get()
		}
	}
	return sum
}

// cpu returns the user and system CPU time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
