package board_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/workflow"
)

func TestBoard(t *testing.T) { suite.Run(t, "board") }

func record(id, queue string) kv.Entry {
	return kv.Entry{Key: board.RecordKey(id), Version: 1, Value: workflow.Encode(workflow.Record{Queue: queue})}
}

func progress(id string, version uint64, state workflow.State) kv.Entry {
	return kv.Entry{Key: board.ProgressKey(id), Version: version, Value: workflow.Encode(workflow.Progress{State: state})}
}

var _ = Describe("a board", func() {
	cancel := kv.Entry{Key: board.CancelKey("a"), Version: 2, Value: []byte("x")}

	DescribeTable("returns the state of a job",
		func(want workflow.State, entries ...kv.Entry) {
			b := board.New(nil)
			b.Add(entries...)
			v, ok := b.Find("a")
			Expect(ok).To(BeTrue())
			Expect(v.State()).To(Equal(want))
		},
		Entry("before its first run", workflow.Queued, record("a", "q")),
		Entry("while it runs", workflow.Running, record("a", "q"), progress("a", 2, workflow.Running)),
		Entry("that ended before its cancellation", workflow.Completed, record("a", "q"), progress("a", 3, workflow.Completed), cancel),
		Entry("that was cancelled before its end", workflow.Cancelled, record("a", "q"), cancel, progress("a", 3, workflow.Running)),
		Entry("whose older progress arrives after the newer one", workflow.Completed, record("a", "q"), progress("a", 9, workflow.Completed), progress("a", 4, workflow.Running)),
	)

	withdrawal := func(token string, o workflow.Owner) kv.Entry {
		return kv.Entry{Key: board.WithdrawalKey("a", token), Version: 3, Value: workflow.Encode(o)}
	}
	ofAccount := func(queue, account string) kv.Entry {
		return kv.Entry{Key: board.RecordKey("a"), Version: 4, Value: workflow.Encode(workflow.Record{Queue: queue, Account: account})}
	}

	// Guards against a job that runs although its cancellation was answered before its record was written.
	DescribeTable("returns the state of a job that its owner or another one has withdrawn",
		func(want workflow.State, entries ...kv.Entry) {
			check := func(b *board.Board) {
				GinkgoHelper()
				v, ok := b.Find("a")
				Expect(ok).To(BeTrue())
				Expect(v.State()).To(Equal(want))
			}
			b := board.New(nil)
			var seen []workflow.State
			b.Watch(func(v board.View) { seen = append(seen, v.State()) })
			b.Add(entries...)
			check(b)
			Expect(seen).To(ContainElement(want), "the leader learns of it")
			for _, e := range entries {
				Expect(b.Has(e.Key)).To(BeTrue())
			}
			b.Replace(entries)
			check(b)
			// The store deletes withdrawals after a while.
			b.Apply([]kv.Change{{Entry: kv.Entry{Key: board.WithdrawalKey("a", "t")}, Deleted: true}})
			Expect(b.Has(board.WithdrawalKey("a", "t"))).To(BeFalse())
			check(b)
		},
		Entry("before its record", workflow.Cancelled, withdrawal("t", workflow.Owner{Queue: "q", Account: "x"}), ofAccount("q", "x")),
		Entry("after its record", workflow.Cancelled, ofAccount("q", "x"), withdrawal("t", workflow.Owner{Queue: "q", Account: "x"})),
		Entry("beside another one", workflow.Cancelled, withdrawal("t", workflow.Owner{Queue: "q", Account: "y"}), withdrawal("u", workflow.Owner{Queue: "q", Account: "x"}), ofAccount("q", "x")),
		Entry("in a public queue", workflow.Cancelled, withdrawal("t", workflow.Owner{Queue: "q", Account: "y", Public: true}), ofAccount("q", "x")),
		Entry("of another account", workflow.Queued, withdrawal("t", workflow.Owner{Queue: "q", Account: "y"}), ofAccount("q", "x")),
		Entry("in another queue", workflow.Queued, ofAccount("q", "x"), withdrawal("t", workflow.Owner{Queue: "r", Account: "x"})),
	)

	It("does not cancel a job by a withdrawal that can't be read", func() {
		var unreadable []string
		b := board.New(func(key string, _ error) { unreadable = append(unreadable, key) })
		b.Add(kv.Entry{Key: board.WithdrawalKey("a", "t"), Version: 3, Value: []byte("\xff")}, ofAccount("q", "x"))
		v, _ := b.Find("a")
		Expect(v.State()).To(Equal(workflow.Queued))
		Expect(unreadable).To(Equal([]string{board.WithdrawalKey("a", "t")}))
	})

	It("does not know a job that was withdrawn and never submitted", func() {
		b := board.New(nil)
		b.Add(withdrawal("t", workflow.Owner{Queue: "q"}))
		_, ok := b.Find("a")
		Expect(ok).To(BeFalse())
		Expect(b.Pending("q")).To(BeZero())
	})

	DescribeTable("returns the state of a job whose end is held",
		func(want workflow.State, later ...kv.Entry) {
			b := board.New(nil)
			b.Add(record("a", "q"), progress("a", 2, workflow.Running))
			end := board.End{Job: "a", Progress: workflow.Progress{State: workflow.Completed}}
			Expect(b.Hold(end)).To(HaveLen(1))
			Expect(b.Hold(end)).To(BeEmpty())
			b.Add(later...)
			v, _ := b.Find("a")
			Expect(v.State()).To(Equal(want))
		},
		Entry("and not recorded", workflow.Running),
		Entry("and recorded", workflow.Completed, progress("a", 5, workflow.Completed)),
		Entry("before its cancellation", workflow.Cancelled, cancel),
		Entry("before a newer record says that it runs", workflow.Running, progress("a", 5, workflow.Running)),
		Entry("until another end is recorded", workflow.Failed, progress("a", 5, workflow.Failed)),
	)

	It("keeps held ends through a new list, and forgets them once they are recorded", func() {
		b := board.New(nil)
		b.Hold(board.End{Job: "a", Progress: workflow.Progress{State: workflow.Completed}})
		b.Replace([]kv.Entry{record("a", "q"), progress("a", 2, workflow.Running), {Key: board.LeaderKey, Version: 4}})
		v, _ := b.Find("a")
		Expect(v.Held).To(HaveField("State", workflow.Completed))
		Expect(v.State()).To(Equal(workflow.Running))
		_, term := b.Leader()
		Expect(term).To(Equal(uint64(4)))
		b.Add(progress("a", 6, workflow.Completed))
		v, _ = b.Find("a")
		Expect(v.State()).To(Equal(workflow.Completed))
		Expect(v.Held).To(BeNil())
	})

	// Guards against an instance that goes back from a final state that another one has read.
	It("reports a final state that another instance has read until it has read one itself", func() {
		b := board.New(nil)
		b.Confirm("a", workflow.Completed)
		b.Add(record("a", "q"), progress("a", 2, workflow.Running))
		v, _ := b.Find("a")
		Expect(v.State()).To(Equal(workflow.Running), "the job was not known when it was confirmed")
		b.Confirm("a", workflow.Completed)
		b.Add(progress("a", 3, workflow.Running))
		b.Replace([]kv.Entry{record("a", "q"), progress("a", 4, workflow.Running)})
		v, _ = b.Find("a")
		Expect(v.State()).To(Equal(workflow.Completed))
		b.Add(progress("a", 5, workflow.Failed))
		b.Confirm("a", workflow.Completed)
		v, _ = b.Find("a")
		Expect(v.State()).To(Equal(workflow.Failed))
	})

	It("keeps progress that is newer than a list that was begun before it", func() {
		b := board.New(nil)
		b.Add(record("a", "q"), progress("a", 6, workflow.Completed))
		b.Replace([]kv.Entry{record("a", "q"), progress("a", 2, workflow.Running)})
		v, _ := b.Find("a")
		Expect(v.Version).To(Equal(uint64(6)))
		Expect(v.State()).To(Equal(workflow.Completed))
	})

	// Guards against a job that is shown as cancelled and then as running, because the instance was reading a
	// list when it recorded the cancellation.
	DescribeTable("keeps a final state that is newer than a list",
		func(want workflow.State, token string, change func(b *board.Board)) {
			submitted := func(token string, version uint64) kv.Entry {
				return kv.Entry{Key: board.RecordKey("a"), Version: version, Value: workflow.Encode(workflow.Record{Queue: "q", Token: token})}
			}
			b := board.New(nil)
			b.Add(submitted("t", 1), progress("a", 2, workflow.Running))
			change(b)
			b.Replace([]kv.Entry{submitted(token, 5), progress("a", 6, workflow.Running)})
			v, _ := b.Find("a")
			Expect(v.State()).To(Equal(want))
		},
		Entry("of a job that was cancelled", workflow.Cancelled, "t", func(b *board.Board) { b.Add(cancel) }),
		Entry("of a job that was withdrawn", workflow.Cancelled, "t", func(b *board.Board) { b.Add(withdrawal("w", workflow.Owner{Queue: "q"})) }),
		Entry("that another instance has read", workflow.Failed, "t", func(b *board.Board) { b.Confirm("a", workflow.Failed) }),
		Entry("but not that of an earlier job with the same ID, cancelled", workflow.Running, "u", func(b *board.Board) { b.Add(cancel) }),
		Entry("but not that of an earlier job with the same ID, read elsewhere", workflow.Running, "u", func(b *board.Board) { b.Confirm("a", workflow.Failed) }),
	)

	It("does not know a job without its record", func() {
		b := board.New(nil)
		b.Add(progress("a", 2, workflow.Running))
		_, ok := b.Find("a")
		Expect(ok).To(BeFalse())
	})

	It("counts the jobs of a queue that wait", func() {
		b := board.New(nil)
		b.Add(record("a", "q"), record("b", "q"), record("c", "other"), progress("b", 2, workflow.Running))
		Expect(b.Pending("q")).To(Equal(1))
	})

	It("notifies watchers of each record and each cancellation once", func() {
		b := board.New(nil)
		var notifications []string
		b.Watch(func(v board.View) {
			event := "new "
			if v.Cancelled {
				event = "cancelled "
			}
			notifications = append(notifications, event+v.ID)
		})
		b.Add(record("a", "q"))
		b.Add(record("a", "q"))
		b.Add(cancel)
		b.Replace([]kv.Entry{record("a", "q"), cancel, record("b", "q")})
		Expect(notifications).To(Equal([]string{"new a", "cancelled a", "new b"}))
	})

	It("reports a value that can't be decoded", func() {
		var invalidKeys []string
		b := board.New(func(key string, _ error) { invalidKeys = append(invalidKeys, key) })
		b.Add(kv.Entry{Key: board.RecordKey("a"), Value: []byte("\xff\xff")})
		Expect(invalidKeys).To(HaveLen(1))
		_, ok := b.Find("a")
		Expect(ok).To(BeFalse())
	})

	It("returns the key that a notice refers to", func() {
		notice := board.NoticeKey(1234*clock.Second, board.RecordKey("a"))
		key, ok := board.NoticedKey(notice)
		Expect(ok).To(BeTrue())
		Expect(key).To(Equal(board.RecordKey("a")))
		_, after := board.NoticesSince(1233 * clock.Second)
		Expect(notice > after).To(BeTrue())
		_, after = board.NoticesSince(1235 * clock.Second)
		Expect(notice > after).To(BeFalse())
	})
})
