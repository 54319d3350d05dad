package board_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("the memory of the known jobs", func() {
	record := func(id, account string) kv.Entry {
		return kv.Entry{Key: board.RecordKey(id), Version: 1, Value: workflow.Encode(workflow.Record{Account: account, Spec: workflow.Spec{Steps: make([]workflow.Step, 2)}})}
	}
	progress := func(version uint64, payload int) kv.Entry {
		return kv.Entry{Key: board.ProgressKey("1"), Version: version, Value: workflow.Encode(workflow.Progress{Parts: []workflow.StepProgress{{DoneSet: make([]byte, payload)}}})}
	}
	one := record("1", "a")
	alone := stored.JobBytes(stored.Job{Record: len(one.Value), Parts: 2})

	// Guards against a count that drifts, which would keep an account from storing jobs for good.
	It("follows records, progress and removals, in any order and once each", func() {
		b := board.New(nil)
		b.Add(progress(2, 100))
		Expect(b.Stored("a")).To(BeZero())
		b.Add(one, one, record("2", "b"))
		Expect(b.Stored("a")).To(BeNumerically(">", alone))
		Expect(b.Stored("b")).To(Equal(alone))
		larger := b.Stored("a")
		b.Add(progress(3, 1000))
		Expect(b.Stored("a")).To(BeNumerically(">", larger))
		b.Apply([]kv.Change{{Entry: kv.Entry{Key: board.RecordKey("1")}, Deleted: true}, {Entry: kv.Entry{Key: board.RecordKey("1")}, Deleted: true}})
		Expect(b.Stored("a")).To(BeZero())
		Expect(b.StoredTotal()).To(Equal(alone))
	})

	It("is that of the list that replaces them, with newer progress", func() {
		b := board.New(nil)
		b.Add(one, progress(5, 1000), record("2", "b"))
		before := b.Stored("a")
		b.Replace([]kv.Entry{one, progress(4, 10)})
		Expect(b.Stored("a")).To(Equal(before))
		Expect(b.Stored("b")).To(BeZero())
	})
})
