package diff_test

import (
	"flag"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutsail/chestnutsail/diff"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestDiff(t *testing.T) { suite.Run(t, "diff") }

var _ = DescribeTable("lines", func(a, b, want string) { Expect(diff.Lines(a, b)).To(Equal(want)) },
	Entry("equal", "a\nb\n", "a\nb\n", ""),
	Entry("one changed", "a\nb\nc\n", "a\nx\nc\n", "  a\n- b\n+ x\n  c\n"),
	Entry("far apart", "1\n2\n3\n4\n5\n6\n7\n", "0\n2\n3\n4\n5\n6\n8\n", "- 1\n+ 0\n  2\n  3\n...\n  5\n  6\n- 7\n+ 8\n"),
	Entry("from nothing", "", "a\n", "- \n+ a\n"),
)

func TestEveryLineIsAccountedFor(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Custom(func(t *rapid.T) string {
			return strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 4).Draw(t, "lines"), "\n")
		})
		a, b := text.Draw(t, "a"), text.Draw(t, "b")
		removed, added := 0, 0
		for _, l := range strings.Split(diff.Lines(a, b), "\n") {
			removed += strings.Count(l, "- ")
			added += strings.Count(l, "+ ")
		}
		if strings.Count(b, "\n")-strings.Count(a, "\n") != added-removed {
			t.Fatalf("from %q to %q: %d removed, %d added", a, b, removed, added)
		}
	})
}
