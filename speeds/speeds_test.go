package speeds_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/speed"
	"github.com/chestnutsail/chestnutsail/speeds"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSpeeds(t *testing.T) { suite.Run(t, "speeds") }

// store is a store with the key of a leader, whose version is term, and one other key.
type store struct {
	term  uint64
	entry kv.Entry
}

func (s *store) Get(_ context.Context, key string) (kv.Entry, error) {
	if s.entry.Version == 0 {
		return kv.Entry{}, &kv.Error{Kind: kv.Missing, Key: key, Err: kv.ErrMissing}
	}
	return s.entry, nil
}

func (s *store) Commit(_ context.Context, ops []kv.Op) (uint64, error) {
	if ops[0].Version != s.term || ops[1].Version != s.entry.Version {
		return 0, &kv.Error{Kind: kv.Conflict, Err: kv.ErrConflict}
	}
	s.entry = kv.Entry{Key: ops[1].Key, Value: ops[1].Value, Version: s.entry.Version + 1}
	return s.entry.Version, nil
}

var _ = Describe("the stored speeds of workers", func() {
	ctx := context.Background()
	rows := func(count int) []speeds.Row {
		var list []speeds.Row
		for i := range count {
			list = append(list, speeds.Row{Worker: fmt.Sprintf("i-%010x", i), StartedAt: 1765000000000, Measured: speed.MeanOf(float64(i%30), -0.5)})
		}
		return list
	}

	It("are read by the next leader, in a few kilobytes for 350 workers", func() {
		s := &store{term: 3}
		first, second := speeds.New(speeds.Options{Store: s}), speeds.New(speeds.Options{Store: s})
		Expect(first.Load(ctx)).To(BeEmpty())
		Expect(first.Save(ctx, 3, rows(350))).To(Succeed())
		Expect(first.Save(ctx, 3, rows(350))).To(Succeed())
		Expect(len(s.entry.Value)).To(BeNumerically("<", 9000))
		s.term = 4
		Expect(second.Load(ctx)).To(Equal(rows(350)))
		Expect(second.Save(ctx, 4, rows(2))).To(Succeed())
		Expect(kv.KindOf(first.Save(ctx, 3, rows(350)))).To(Equal(kv.Conflict), "its term is over")
		Expect(second.Load(ctx)).To(HaveLen(2))
	})

	It("are no measurements beyond what runs can show, whatever the key holds", func() {
		s := &store{}
		a := speeds.New(speeds.Options{Store: s})
		s.entry = kv.Entry{Version: 1, Value: []byte("\xff")}
		_, err := a.Load(ctx)
		Expect(err).To(MatchError(speeds.ErrUnreadable))
		Expect(a.Save(ctx, 0, []speeds.Row{{Worker: "i-1", Measured: speed.MeanOf(1e300, -1e300)}})).To(Succeed())
		list, err := a.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(list[0].Measured.Estimate(speed.Fleet{}).Expected).To(BeNumerically(">", 0.3))
	})
})
