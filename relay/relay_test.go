package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/relay"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestRelay(t *testing.T) { suite.Run(t, "relay") }

// behaviour is what a peer does with a call.
type behaviour string

const (
	carriesOut   behaviour = "carries it out"
	refuses      behaviour = "refuses it"
	isUnsure     behaviour = "is unsure"
	losesAnswer  behaviour = "carries it out and loses the answer"
	staysSilent  behaviour = "does not answer"
	isGone       behaviour = "is gone"
	knowsOlder   behaviour = "knows an older configuration"
	refusesNoKey behaviour = "answers 401"
	refusesFull  behaviour = "answers 429"
	changesToo   behaviour = "gets a newer configuration meanwhile"
)

// peer is another instance. asked counts the calls that it got, ran those that it carried out, and ahead
// those for which the sender did not know its configuration.
type peer struct {
	address           string
	asked, ran, ahead atomic.Int64
	version           atomic.Int64
}

const ownVersion, newVersion = 5, 7

// newPeer returns a peer. senderVersion returns the version of the configuration that the sender knows.
func newPeer(b behaviour, senderVersion func() int64) *peer {
	p := &peer{}
	if b == isGone {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		p.address = listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		return p
	}
	p.version.Store(newVersion)
	switch b {
	case knowsOlder:
		p.version.Store(ownVersion - 1)
	case changesToo:
		p.version.Store(ownVersion)
	}
	released := make(chan struct{})
	calls := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.asked.Add(1)
		if p.version.Load() > senderVersion() {
			p.ahead.Add(1)
		}
		switch b {
		case refuses:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case isUnsure:
			http.Error(w, "unsure", http.StatusGatewayTimeout)
		case refusesFull:
			http.Error(w, "the account has no room", http.StatusTooManyRequests)
		case refusesNoKey:
			http.Error(w, "unknown key", http.StatusUnauthorized)
		case staysSilent:
			<-released
		case losesAnswer:
			p.ran.Add(1)
			panic(http.ErrAbortHandler)
		default:
			p.ran.Add(1)
			p.version.Store(max(p.version.Load(), newVersion))
			_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.Host, r.URL.Path)
		}
	})
	server := httptest.NewServer(relay.NewHandler(relay.HandlerOptions{
		Calls:     func(int64) http.Handler { return calls },
		Config:    func() (int64, []byte) { return p.version.Load(), []byte("configuration") },
		OnRefused: func(relay.Refusal) {},
		Log:       logrus.NewEntry(logrus.New()),
	}))
	DeferCleanup(func() {
		close(released)
		server.Close()
	})
	p.address = server.Listener.Addr().String()
	return p
}

// handOn is a relay with the peers that it may ask and the configurations that it adopted.
type handOn struct {
	*relay.Relay
	peers   []*peer
	adopted []string
	retries int
	// version is the newest version of which the relay knows, inForce that of the configuration that it has.
	version, inForce atomic.Int64
}

func newRelay(behaviours ...behaviour) *handOn {
	h := &handOn{}
	h.version.Store(ownVersion)
	h.inForce.Store(ownVersion)
	for _, b := range behaviours {
		h.peers = append(h.peers, newPeer(b, h.version.Load))
	}
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	h.Relay = relay.New(relay.Options{
		Peers: func() []string {
			var list []string
			for _, p := range h.peers {
				list = append(list, p.address)
			}
			return list
		},
		Version: h.version.Load, InForce: h.inForce.Load,
		Adopt: func(version int64, raw []byte) {
			h.adopted = append(h.adopted, fmt.Sprintf("%d %s", version, raw))
			h.version.Store(version)
			h.inForce.Store(version)
		},
		OnRetry: func() { h.retries++ },
		Client:  &http.Client{}, Log: logrus.NewEntry(log),
	})
	return h
}

func (h *handOn) send() relay.Answer {
	return h.Send(context.Background(), relay.Call{Method: "POST", Path: "/q/1", Host: "h.example", Header: http.Header{"Api-Key": {"k"}}, Body: []byte("{}")})
}

func (h *handOn) asked() (n int64) {
	for _, p := range h.peers {
		n += p.asked.Load()
	}
	return n
}

var _ = Describe("a call that an instance can't carry out", func() {
	DescribeTable("is handed on to peers of which",
		func(want relay.Outcome, status int, behaviours ...behaviour) {
			answer := newRelay(behaviours...).send()
			Expect(answer.Outcome).To(Equal(want))
			Expect(answer.Status).To(Equal(status))
		},
		Entry("there is none", relay.NotRun, 0),
		Entry("one carries it out", relay.Answered, 200, carriesOut),
		Entry("one answers that the key is unknown", relay.Answered, 401, refusesNoKey),
		Entry("two refuse it and one carries it out", relay.Answered, 200, refuses, carriesOut, refuses),
		Entry("two are gone and one carries it out", relay.Answered, 200, isGone, carriesOut, isGone),
		Entry("all refuse it or are gone", relay.NotRun, 0, refuses, isGone, refuses),
		Entry("one is unsure and the others refuse it", relay.Unsure, 0, isUnsure, refuses, refuses),
		Entry("one is unsure and another carries it out", relay.Answered, 200, isUnsure, carriesOut),
		Entry("one loses the answer", relay.Unsure, 0, losesAnswer),
		Entry("one does not answer", relay.Unsure, 0, staysSilent),
		Entry("one knows an older configuration", relay.NotRun, 0, knowsOlder),
	)

	It("keeps its method, host and path, and brings the newer configuration", func() {
		h := newRelay(carriesOut)
		Expect(string(h.send().Body)).To(Equal("POST h.example /q/1"))
		Expect(h.adopted).To(Equal([]string{"7 configuration"}))
	})

	// Guards against a sender that answers by an older configuration than the one by which its call took effect.
	DescribeTable("takes effect only by a configuration that this instance knows, if a peer",
		func(b behaviour) {
			h := newRelay(b)
			h.send()
			Expect(h.peers[0].asked.Load()).To(BeEquivalentTo(1))
			Expect(h.peers[0].ahead.Load()).To(BeZero())
			Expect(h.retries).To(Equal(1))
			Expect(h.adopted).To(Equal([]string{"7 configuration"}))
		},
		Entry("carries it out", carriesOut),
		Entry("loses the answer", losesAnswer),
		Entry("is unsure", isUnsure),
		Entry("refuses it", refuses),
		Entry("answers that the key is unknown", refusesNoKey),
	)

	It("brings a configuration of which this instance only knows", func() {
		h := newRelay(carriesOut)
		h.version.Store(newVersion)
		Expect(h.send().Status).To(Equal(http.StatusOK))
		Expect(h.peers[0].asked.Load()).To(BeEquivalentTo(1))
		Expect(h.adopted).To(Equal([]string{"7 configuration"}))
	})

	It("brings the configuration that came into force at the peer meanwhile", func() {
		h := newRelay(changesToo)
		Expect(h.send().Status).To(Equal(http.StatusOK))
		Expect(h.adopted).To(Equal([]string{"7 configuration"}))
	})

	It("is not refused by a peer if it may have been carried out before", func() {
		c := relay.Call{Method: "POST", Path: "/q/1", Host: "h.example", Open: true}
		Expect(newRelay(refusesNoKey).Send(context.Background(), c).Outcome).To(Equal(relay.Unsure))
		Expect(newRelay(refuses, isGone).Send(context.Background(), c).Outcome).To(Equal(relay.Unsure))
		Expect(newRelay(refusesNoKey, carriesOut).Send(context.Background(), c).Status).To(Equal(http.StatusOK))
	})

	// Guards against an unsure answer although a peer would have carried the call out: a refusal
	// does not settle an open call, and the peer that refused it must not use up the other tries.
	It("is handed to each peer once", func() {
		c := relay.Call{Method: "POST", Path: "/q/1", Host: "h.example", Open: true}
		for range 40 {
			h := newRelay(refusesNoKey, refusesNoKey, carriesOut)
			Expect(h.Send(context.Background(), c).Status).To(Equal(http.StatusOK))
			for _, p := range h.peers {
				Expect(p.asked.Load()).To(BeNumerically("<=", 1))
			}
		}
	})

	It("is refused at once while no peer can carry it out", func() {
		h := newRelay(refuses, refuses, isGone)
		h.send()
		asked := h.asked()
		start := time.Now()
		Expect(h.send().Outcome).To(Equal(relay.NotRun))
		Expect(h.asked()).To(Equal(asked), "the peers rest")
		Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond))
		Eventually(func() int64 { h.send(); return h.asked() }).Should(BeNumerically(">", asked), "they are asked again")
	})

	// Guards against an account without room that keeps the calls of others from being handed on.
	It("does not rest the peers that refuse it because of its account", func() {
		h := newRelay(refusesFull, refusesFull)
		for n := range 3 {
			Expect(h.send().Outcome).To(Equal(relay.NotRun))
			Expect(h.asked()).To(BeEquivalentTo(2 * (n + 1)))
		}
	})

	// Guards against a refusal of a call that a peer has carried out without an answer, whether it
	// says "not run" or comes from a peer that would not have carried the call out.
	It("is never refused if a peer has carried it out", func() {
		random := rand.New(rand.NewPCG(1, 1))
		all := []behaviour{carriesOut, refuses, isUnsure, losesAnswer, isGone, knowsOlder, refusesNoKey, refusesFull}
		for range 60 {
			var behaviours []behaviour
			for range 1 + random.IntN(4) {
				behaviours = append(behaviours, all[random.IntN(len(all))])
			}
			h := newRelay(behaviours...)
			answer := h.send()
			for _, p := range h.peers {
				if p.ran.Load() > 0 && answer.Outcome != relay.Unsure {
					Expect(answer.Status).To(Equal(http.StatusOK), "%v", behaviours)
				}
			}
		}
	})
})
