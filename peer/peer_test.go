package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/gorilla/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/token"
)

const (
	secret            = "a-secret-for-tests-only"
	heartbeatInterval = 100 * clock.Millisecond
)

// testNode is a mesh with its HTTP server and its counters.
type testNode struct {
	*peer.Mesh
	server   *httptest.Server
	counters *counters.Counters
}

func (n *testNode) stop() {
	_ = n.Stop(context.Background())
	n.server.Close()
}

// metric returns the value of a counter.
func (n *testNode) metric(name string) uint64 { return n.counters.Counter(name).Get() }

// startNode starts a node that connects to the seeds first.
func startNode(opts peer.Options, seeds ...*testNode) *testNode {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	var mesh *peer.Mesh
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { mesh.ServeHTTP(w, r) }))
	for _, s := range seeds {
		opts.Seeds = append(opts.Seeds, s.Self().Address)
	}
	if opts.Tokens == nil {
		opts.Tokens = token.New(secret)
	}
	if opts.Domain == "" {
		opts.Domain = "a"
	}
	opts.HeartbeatInterval, opts.Counters, opts.Log = heartbeatInterval, counters.New(), logrus.NewEntry(log)
	opts.Address = server.Listener.Addr().String()
	mesh = peer.New(opts)
	server.Start()
	n := &testNode{Mesh: mesh, server: server, counters: opts.Counters}
	DeferCleanup(n.stop)
	return n
}

// startCluster starts the entries e00, e01, … in three failure domains, each with the first
// one as its only seed, and waits until all see each other.
func startCluster(entries int, opts peer.Options) []*testNode {
	var nodes []*testNode
	for i := range entries {
		opts.Name, opts.Domain = fmt.Sprintf("e%02d", i), string(rune('a'+i%3))
		nodes = append(nodes, startNode(opts, nodes[:min(i, 1)]...))
	}
	for _, v := range nodes {
		Eventually(peerNames(v)).WithTimeout(10 * time.Second).Should(HaveLen(entries - 1))
	}
	return nodes
}

func peerNames(n *testNode) func() []string {
	return func() []string {
		var list []string
		for _, p := range n.Peers() {
			list = append(list, p.Name)
		}
		return list
	}
}

func peerNamed(n *testNode, name string) func() peer.Peer {
	return func() peer.Peer {
		for _, p := range n.Peers() {
			if p.Name == name {
				return p
			}
		}
		return peer.Peer{}
	}
}

var _ = Describe("the mesh", func() {
	DescribeTable("distributes the state of an entry to all others", func(n, fullMeshLimit int) {
		nodes := startCluster(n, peer.Options{FullMeshLimit: fullMeshLimit})
		nodes[n-1].AnnounceLeadership(true, 7)
		nodes[n-1].AnnounceRevision(42)
		nodes[n-1].AnnounceLeaving()
		for _, v := range nodes[:n-1] {
			Eventually(peerNamed(v, nodes[n-1].Self().Name)).WithTimeout(2 * time.Second).Should(And(
				HaveField("Leads", true), HaveField("Term", int64(7)),
				HaveField("Revision", uint64(42)), HaveField("Leaving", true)))
		}
	},
		Entry("two entries", 2, 12),
		Entry("a full mesh of nine", 9, 12),
		Entry("a partial mesh of eighteen", 18, 6),
	)

	It("answers concurrent calls, returns errors of handlers and applies the deadline", func() {
		a := startNode(peer.Options{Name: "a"})
		b := startNode(peer.Options{Name: "b"}, a)
		Eventually(peerNames(a)).Should(ConsistOf("b"))
		b.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
			return append([]byte(from+":"), body...), nil
		})
		b.Handle("fail", func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("no") })
		b.Handle("hang", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx := context.Background()
		answers := make(chan string, 100)
		for i := range 100 {
			go func() {
				out, err := a.Call(ctx, "b", "echo", fmt.Append(nil, i))
				answers <- fmt.Sprint(string(out) == fmt.Sprint("a:", i), err)
			}()
		}
		for range 100 {
			Expect(<-answers).To(Equal("true <nil>"))
		}
		_, err := a.Call(ctx, "b", "fail", nil)
		Expect(err).To(MatchError(&peer.Error{Peer: "b", Method: "fail", Sent: true, Remote: true, Err: errors.New("no")}))
		_, err = a.Call(ctx, "c", "echo", nil)
		Expect(err).To(MatchError(peer.ErrUnknownPeer))
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = a.Call(short, "b", "hang", nil)
		Expect(err).To(HaveOccurred())
	})

	It("removes an entry that stops without leaving, and adds it again under a new incarnation", func() {
		nodes := startCluster(3, peer.Options{})
		old := peerNamed(nodes[0], "e02")()
		nodes[2].stop()
		Eventually(peerNames(nodes[0])).WithTimeout(2 * time.Second).Should(ConsistOf("e01"))
		restarted := startNode(peer.Options{Name: "e02"}, nodes[1])
		Eventually(peerNames(nodes[0])).WithTimeout(2 * time.Second).Should(ConsistOf("e01", "e02"))
		Expect(peerNamed(nodes[0], "e02")().Incarnation).To(BeNumerically(">", old.Incarnation))
		Expect(peerNamed(nodes[0], "e02")().Address).To(Equal(restarted.Self().Address))
	})

	It("knows the address of a restarted entry although a heartbeat without it is merged before the hello", func() {
		nodes := startCluster(2, peer.Options{})
		restarted := peerNamed(nodes[0], "e01")()
		nodes[1].stop()
		restarted.Incarnation++
		nodes[0].MergeFrom(restarted, "", "127.0.0.1:1")
		Expect(peerNamed(nodes[0], "e01")().Incarnation).To(Equal(restarted.Incarnation))
		Expect(peerNamed(nodes[0], "e01")().Address).To(Equal("127.0.0.1:1"))
	})

	It("counts two live entries with the same name as duplicates", func() {
		a := startNode(peer.Options{Name: "same"})
		hub := startNode(peer.Options{Name: "hub"}, a)
		Eventually(peerNames(hub)).Should(ConsistOf("same"))
		b := startNode(peer.Options{Name: "same"}, a)
		Eventually(func() uint64 {
			return a.metric("chestnutsail_peer_duplicates_total") + b.metric("chestnutsail_peer_duplicates_total")
		}).WithTimeout(3 * time.Second).Should(BeNumerically(">", 0))
	})

	DescribeTable("refuses an entry without the shared secret", func(opts peer.Options) {
		a := startNode(peer.Options{Name: "a"})
		opts.Name = "stranger"
		b := startNode(opts, a)
		Consistently(peerNames(a)).WithTimeout(5 * heartbeatInterval.Duration()).Should(BeEmpty())
		Expect(b.Peers()).To(BeEmpty())
		Expect(a.metric(`chestnutsail_peer_dropped_total{reason="unauthorized"}`)).To(BeNumerically(">", 0))
	},
		Entry("another secret", peer.Options{Tokens: token.New("another-secret-of-16")}),
	)

	It("accepts both secrets during a rotation", func() {
		a := startNode(peer.Options{Name: "a", Tokens: token.New("a-new-secret-of-16-bytes", secret)})
		b := startNode(peer.Options{Name: "b", Tokens: token.New(secret, "a-new-secret-of-16-bytes")}, a)
		Eventually(peerNames(a)).Should(ConsistOf("b"))
		Eventually(peerNames(b)).Should(ConsistOf("a"))
	})

	DescribeTable("closes only the connection that sends an invalid frame", func(reason string, messageType int, raw []byte) {
		a := startNode(peer.Options{Name: "a"})
		_ = startNode(peer.Options{Name: "b"}, a)
		Eventually(peerNames(a)).Should(ConsistOf("b"))
		conn, _, err := websocket.DefaultDialer.Dial("ws://"+a.Self().Address+peer.Path, http.Header{"Mesh-Nonce": {"n"}})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		// The write may fail, since the other end may close the connection before it has read
		// the whole frame.
		_ = conn.WriteMessage(messageType, raw)
		_, _, err = conn.ReadMessage()
		Expect(err).To(HaveOccurred())
		Eventually(func() uint64 { return a.metric(`chestnutsail_peer_dropped_total{reason="` + reason + `"}`) }).Should(BeEquivalentTo(1))
		Consistently(peerNames(a)).WithTimeout(4 * heartbeatInterval.Duration()).Should(ConsistOf("b"))
	},
		Entry("a truncated frame", "malformed", websocket.BinaryMessage, peer.ValidFrames()[0][:9]),
		Entry("two frames in one", "malformed", websocket.BinaryMessage, append(peer.ValidFrames()[0], peer.ValidFrames()[1]...)),
		Entry("a length that exceeds the frame", "malformed", websocket.BinaryMessage, []byte{0xa1, 0x04, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
		Entry("a text message instead of a binary one", "malformed", websocket.TextMessage, []byte("hello")),
		Entry("a hello of 32 KB", "too_large", websocket.BinaryMessage, make([]byte, 32<<10)),
		Entry("a hello with a forged proof", "unauthorized", websocket.BinaryMessage, peer.ValidFrames()[0]),
		Entry("a call before the hello", "unauthorized", websocket.BinaryMessage, peer.ValidFrames()[2]),
	)

	It("refuses plain HTTP without a nonce", func() {
		a := startNode(peer.Options{Name: "a"})
		resp, err := http.Get("http://" + a.Self().Address + peer.Path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("a partial mesh", func() {
	It("reaches every entry in a few hops with few connections", func() {
		var all []peer.Peer
		for i := range 36 {
			all = append(all, peer.Peer{Name: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i/9))})
		}
		edges := map[string][]string{}
		for i, p := range all {
			others := append(append([]peer.Peer{}, all[:i]...), all[i+1:]...)
			for _, n := range peer.Neighbours(p, others, 12) {
				edges[p.Name] = append(edges[p.Name], n)
				edges[n] = append(edges[n], p.Name)
			}
		}
		reached := map[string]int{all[0].Name: 0}
		for queue := []string{all[0].Name}; len(queue) > 0; queue = queue[1:] {
			for _, n := range edges[queue[0]] {
				if _, ok := reached[n]; !ok {
					reached[n] = reached[queue[0]] + 1
					Expect(reached[n]).To(BeNumerically("<=", 4))
					queue = append(queue, n)
				}
			}
		}
		Expect(reached).To(HaveLen(36))
	})
})
