package witness_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/roster"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/witness"
	"github.com/chestnutsail/chestnutsail/workflow"
)

func TestWitness(t *testing.T) { suite.Run(t, "witness") }

const (
	id   = "5c0e7a21d94b36f8"
	term = 7
)

// member is an instance with a board that knows one running job.
type member struct {
	*witness.Witness
	board     *board.Board
	instance  roster.Instance
	others    []roster.Instance
	reachable atomic.Bool
	outcomes  chan witness.Outcome
	calls     atomic.Int64
}

// newMember starts an instance of a failure domain that has lost the store.
func newMember(domain string) *member {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	m := &member{board: board.New(nil), outcomes: make(chan witness.Outcome, 1)}
	m.board.Add(
		kv.Entry{Key: board.RecordKey(id), Version: 1, Value: workflow.Encode(workflow.Record{Queue: "q"})},
		kv.Entry{Key: board.ProgressKey(id), Version: 2, Value: workflow.Encode(workflow.Progress{State: workflow.Running})},
	)
	m.Witness = witness.New(witness.Options{
		Board: m.board, Others: func() []roster.Instance { return m.others }, Domain: domain, Reachable: m.reachable.Load,
		Client: http.DefaultClient, OnOutcome: func(o witness.Outcome) { m.outcomes <- o }, Log: logrus.NewEntry(log),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.calls.Add(1)
		m.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	m.instance = roster.Instance{Address: server.Listener.Addr().String(), Domain: domain}
	return m
}

// isGone makes calls to the instance fail.
func (m *member) isGone() *member {
	m.instance.Address = "127.0.0.1:1"
	return m
}

func (m *member) reachesStore() *member {
	m.reachable.Store(true)
	return m
}

func (m *member) knowsLaterLeader() *member {
	m.board.Add(kv.Entry{Key: board.LeaderKey, Version: term + 1})
	return m
}

func (m *member) state() workflow.State {
	v, _ := m.board.Find(id)
	return v.State()
}

func (m *member) holds() bool {
	v, _ := m.board.Find(id)
	return v.Held != nil && v.Held.State == workflow.Completed
}

var ends = []board.End{{Job: id, Progress: workflow.Progress{State: workflow.Completed, EndedAt: 9}}}

var _ = Describe("the end of a job that the store can't record", func() {
	DescribeTable("is shared with instances of which",
		func(want witness.Outcome, others func() []*member) {
			leader, members := newMember("a"), others()
			for _, m := range members {
				leader.others = append(leader.others, m.instance)
			}
			leader.Share(term, ends)
			Eventually(leader.outcomes).Should(Receive(Equal(want)))
			Expect(leader.holds()).To(BeTrue())
			Expect(leader.state()).To(Equal(workflow.Running), "callers are told of recorded ends only")
			for _, m := range members {
				_, newest := m.board.Leader()
				accepts := m.instance.Address != "127.0.0.1:1" && !m.reachable.Load() && newest <= term
				Expect(m.holds()).To(Equal(accepts), "an instance that is elected later knows the end")
				Expect(m.state()).To(Equal(workflow.Running), "callers are told of recorded ends only")
			}
		},
		Entry("one of each domain holds it", witness.Held, func() []*member { return []*member{newMember("a"), newMember("b"), newMember("c")} }),
		Entry("the only other one holds it", witness.Held, func() []*member { return []*member{newMember("a")} }),
		Entry("one has failed and another of its domain holds it", witness.Held, func() []*member {
			return []*member{newMember("b").isGone(), newMember("b"), newMember("c")}
		}),
		Entry("there is none", witness.Unheld, func() []*member { return nil }),
		Entry("those of one domain do not answer", witness.Unheld, func() []*member {
			return []*member{newMember("b"), newMember("c").isGone(), newMember("c").isGone()}
		}),
		Entry("one reaches the store", witness.Refused, func() []*member { return []*member{newMember("b"), newMember("c").reachesStore()} }),
		Entry("one knows of a later leader", witness.Refused, func() []*member { return []*member{newMember("b"), newMember("c").knowsLaterLeader()} }),
	)

	It("is not shared while the store is reachable, and only once", func() {
		leader, other := newMember("a"), newMember("b")
		leader.others = []roster.Instance{other.instance}
		leader.reachable.Store(true)
		leader.Share(term, ends)
		Consistently(other.calls.Load, 50*time.Millisecond).Should(BeZero())
		leader.reachable.Store(false)
		leader.Share(term, ends)
		Eventually(leader.outcomes).Should(Receive(Equal(witness.Held)))
		calls := other.calls.Load()
		leader.Share(term, ends)
		Consistently(other.calls.Load, 50*time.Millisecond).Should(Equal(calls))
	})

	// Guards against the ends of all jobs being left out with those of a few large jobs.
	It("is shared beside large ones, in messages that are not too large", func() {
		leader, other := newMember("a"), newMember("b")
		leader.others = []roster.Instance{other.instance}
		large := workflow.Progress{State: workflow.Failed, EndedAt: 9, Parts: []workflow.StepProgress{{DoneSet: make([]byte, 900<<10)}}}
		var list []board.End
		for n := range 8 {
			job := fmt.Sprintf("%016x", n)
			for _, m := range []*member{leader, other} {
				m.board.Add(kv.Entry{Key: board.RecordKey(job), Version: 1, Value: workflow.Encode(workflow.Record{Queue: "q"})})
			}
			list = append(list, board.End{Job: job, Progress: large})
		}
		list = append(list, ends...)
		for n := 0; n < len(list) && !other.holds(); n++ {
			leader.Share(term, list)
			Eventually(leader.outcomes, 5*time.Second).Should(Receive(Equal(witness.Held)))
		}
		Expect(other.holds()).To(BeTrue())
	})

	It("is not told by an instance that only holds it", func() {
		leader, holder := newMember("a"), newMember("b")
		leader.others = []roster.Instance{holder.instance, newMember("c").isGone().instance}
		leader.Share(term, ends)
		Eventually(leader.outcomes).Should(Receive(Equal(witness.Unheld)))
		Expect(holder.state()).To(Equal(workflow.Running))
		v, _ := holder.board.Find(id)
		Expect(v.Held.State).To(Equal(workflow.Completed), "a leader elected later knows it")
	})

	DescribeTable("is not taken from a message that",
		func(body string) {
			m := newMember("b")
			resp, err := http.Post("http://"+m.instance.Address+witness.Path, "", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			v, _ := m.board.Find(id)
			Expect(v.Held).To(BeNil())
		},
		Entry("is empty", ""),
		Entry("is not CBOR", "\xff\x00{}"),
		Entry("says that the job still runs", string(workflow.Encode(map[string]any{
			"t": term, "s": true, "e": []map[string]any{{"j": id, "p": workflow.Progress{State: workflow.Running}}},
		}))),
	)
})
