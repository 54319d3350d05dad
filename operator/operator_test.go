package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/operator"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/token"
)

// fakeCluster implements all interfaces that the handler depends on except Platform. Its
// fields set what they return and record the calls of the handler.
type fakeCluster struct {
	applyErr      error
	markErr       error
	markedWorkers []string
	meshCalls     []string
	drainBegun    bool
	peers         []peer.Peer
}

func (c *fakeCluster) Now() config.Snapshot {
	return config.Snapshot{Revision: 7, Raw: []byte("firm: perth")}
}

func (c *fakeCluster) Apply(context.Context, uint64, []byte) (uint64, error) { return 8, c.applyErr }

func (c *fakeCluster) Self() peer.Peer { return peer.Peer{Name: "e1", Domain: "a", Revision: 7} }

func (c *fakeCluster) Peers() []peer.Peer { return c.peers }

func (c *fakeCluster) Call(_ context.Context, name, method string, in []byte) ([]byte, error) {
	for _, p := range c.peers {
		if p.Name == name {
			c.meshCalls = append(c.meshCalls, name+" "+method+" "+string(in))
			return nil, nil
		}
	}
	return nil, &peer.Error{Err: peer.ErrUnknownPeer}
}

func (c *fakeCluster) Handle(string, peer.Handler) {}

func (c *fakeCluster) Workers() []*instances.Worker {
	w, _ := c.Worker("a-1")
	return []*instances.Worker{w}
}

func (c *fakeCluster) Worker(name string) (*instances.Worker, bool) {
	return &instances.Worker{Instance: consul.Instance{Name: "a-1", Leaving: len(c.markedWorkers) > 0}}, name == "a-1"
}

func (c *fakeCluster) ListAge() (clock.Millis, bool) { return 250, true }

func (c *fakeCluster) MarkLeaving(name string) { c.markedWorkers = append(c.markedWorkers, name) }

func (c *fakeCluster) Status(context.Context) (scheduler.Status, error) {
	return scheduler.Status{}, c.applyErr
}

func (c *fakeCluster) Trace(context.Context) ([]byte, error) { return []byte("{}\n"), c.applyErr }

// fakePlatform implements Platform with the fields of a fakeCluster.
type fakePlatform struct{ *fakeCluster }

func (p fakePlatform) MarkLeaving(context.Context, string, bool) error { return p.markErr }

var _ = Describe("the operators' API", func() {
	var cluster *fakeCluster
	var h *operator.Handler
	tokens := token.New("a-secret-for-tests-only")

	call := func(method, path, ifMatch, body, bearer string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+bearer)
		if ifMatch != "" {
			r.Header.Set("If-Match", ifMatch)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	operatorToken := tokens.Mint(token.Operator, "anna")

	BeforeEach(func() {
		cluster = &fakeCluster{peers: []peer.Peer{{Name: "e2", Domain: "a", Revision: 6, Age: 900}, {Name: "f1", Domain: "b", Revision: 7, Leaving: true}}}
		h = operator.New(operator.Options{
			Config: cluster, Tokens: tokens, Mesh: cluster, Workers: cluster, Platform: fakePlatform{cluster}, Scheduler: cluster, BeginDrain: func() { cluster.drainBegun = true },
		})
	})

	DescribeTable("rejects every token that is not an operator's", func(path, bearer string) {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
			Expect(call(method, path, "7", "", bearer).Code).To(Equal(http.StatusUnauthorized))
		}
		Expect(cluster.drainBegun).To(BeFalse())
	},
		Entry("no token", "/v1/text", ""),
		Entry("a caller's token", "/v1/drain", tokens.Mint(token.Caller, "anna")),
		Entry("a peer's token", "/v1/status", tokens.Mint(token.Peer, "anna")),
		Entry("another secret's token", "/v1/instances", token.New("another-secret-of-16").Mint(token.Operator, "anna")),
	)

	DescribeTable("answers a new text with the status of its result", func(err error, status int) {
		cluster.applyErr = err
		Expect(call(http.MethodPut, "/v1/text", `"7"`, "firm: perth", operatorToken).Code).To(Equal(status))
	},
		Entry("accepted", nil, http.StatusOK),
		Entry("replaced by another operator first", &config.ConflictError{Base: 7}, http.StatusPreconditionFailed),
		Entry("refused by the store", &config.RefusedError{Err: &kv.Error{Kind: kv.Ambiguous, Err: errors.New("down")}}, http.StatusServiceUnavailable),
		Entry("unclear", &config.UnclearError{Revision: 8, Err: &kv.Error{Kind: kv.Refused, Err: errors.New("down")}}, http.StatusGatewayTimeout),
		Entry("wrong", errors.New("line 1: wrong"), http.StatusBadRequest),
	)

	It("requires the revision to replace and limits the size of the text", func() {
		Expect(call(http.MethodPut, "/v1/text", "", "firm: perth", operatorToken).Code).To(Equal(http.StatusPreconditionRequired))
		Expect(call(http.MethodPut, "/v1/text", "*", "firm: perth", operatorToken).Code).To(Equal(http.StatusPreconditionRequired))
		Expect(call(http.MethodPut, "/v1/text", "7", strings.Repeat("#", 1<<20), operatorToken).Code).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("reports whether a text is in force at every live entry", func() {
		var out struct {
			Revision   uint64
			Everywhere bool
			Entries    []struct {
				Name     string
				Revision uint64
			}
		}
		Expect(json.Unmarshal(call(http.MethodGet, "/v1/text/spread", "", "", operatorToken).Body.Bytes(), &out)).To(Succeed())
		Expect(out.Everywhere).To(BeFalse())
		Expect(out.Entries).To(HaveLen(3))
		cluster.peers[0].Revision = 9
		Expect(json.Unmarshal(call(http.MethodGet, "/v1/text/spread", "", "", operatorToken).Body.Bytes(), &out)).To(Succeed())
		Expect(out.Everywhere).To(BeTrue())
	})

	It("lists entries and workers with their states", func() {
		cluster.markedWorkers = []string{"a-1"}
		body := call(http.MethodGet, "/v1/instances", "", "", operatorToken).Body.String()
		Expect(body).To(And(ContainSubstring(`"name":"f1","address":"","domain":"b","state":"leaving"`),
			ContainSubstring(`"list_age_ms":250`), ContainSubstring(`"name":"a-1","address":"","rack":"","state":"leaving"`)))
	})

	DescribeTable("drains", func(query string, status int, drainBegun bool, meshCalls, markedWorkers []string, markErr error) {
		cluster.markErr = markErr
		Expect(call(http.MethodPost, "/v1/drain"+query, "", "", operatorToken).Code).To(Equal(status))
		Expect(cluster.drainBegun).To(Equal(drainBegun))
		Expect(cluster.meshCalls).To(Equal(meshCalls))
		Expect(cluster.markedWorkers).To(Equal(markedWorkers))
	},
		Entry("this entry", "", http.StatusAccepted, true, nil, nil, nil),
		Entry("this entry by name", "?entry=e1", http.StatusAccepted, true, nil, nil, nil),
		Entry("another entry", "?entry=e2", http.StatusAccepted, false, []string{"e2 drain "}, nil, nil),
		Entry("an entry that does not exist", "?entry=e9", http.StatusNotFound, false, nil, nil, nil),
		Entry("a worker of the domain", "?worker=a-1", http.StatusAccepted, false, nil, []string{"a-1"}, nil),
		Entry("a worker of another domain", "?worker=b-1", http.StatusAccepted, false, []string{"f1 drain-worker b-1"}, nil, nil),
		Entry("a worker while the platform is down", "?worker=a-1", http.StatusServiceUnavailable, false, nil, []string{"a-1"}, errors.New("down")),
		Entry("an entry and a worker", "?worker=a-1&entry=e2", http.StatusBadRequest, false, nil, nil, nil),
	)

	It("returns the scheduler's status and trace, or 503 when no scheduler is known", func() {
		Expect(call(http.MethodGet, "/v1/trace", "", "", operatorToken).Body.String()).To(Equal("{}\n"))
		cluster.applyErr = errors.New("no scheduler is known")
		Expect(call(http.MethodGet, "/v1/status", "", "", operatorToken).Code).To(Equal(http.StatusServiceUnavailable))
	})
})
