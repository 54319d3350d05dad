package cover_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/cover"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestCover(t *testing.T) { suite.Run(t, "cover") }

// pieces are the accelerators of each piece of work of a job, and need those that the job needs at a time.
type pieces struct {
	account string
	need    int
	accels  []int
}

var _ = Describe("the cover of accounts that are guaranteed 8 accelerators", func() {
	DescribeTable("holds for",
		func(jobs []pieces, want ...[]bool) {
			c := cover.New(func(string) int { return 8 })
			for i, j := range jobs {
				share := c.Share(j.account, j.need)
				var covered []bool
				for _, n := range j.accels {
					covered = append(covered, share.Take(n))
				}
				Expect(covered).To(Equal(want[i]), "job %d", i)
			}
		},
		Entry("jobs that need all of it, account by account", []pieces{{"a", 8, []int{8}}, {"b", 8, []int{8}}, {"a", 1, []int{1}}},
			[]bool{true}, []bool{true}, []bool{false}),
		Entry("the jobs that still fit beside one that does not", []pieces{{"a", 4, []int{4}}, {"a", 5, []int{5}}, {"a", 4, []int{2, 2}}},
			[]bool{true}, []bool{false}, []bool{true, true}),
		// Guards against a sum that overflows, so that all later jobs are covered.
		Entry("no job after one that needs more than can be added up", []pieces{{"a", 1, []int{1}}, {"a", math.MaxInt, []int{math.MaxInt}}, {"a", 95, []int{1, 95}}},
			[]bool{true}, []bool{false}, []bool{false, false}),
		// Guards against a job that is covered for several times what it is counted with.
		Entry("no work of a job beyond what the job is counted with", []pieces{{"a", 4, []int{4, 4}}, {"a", 4, []int{2, 3, 1, 2}}},
			[]bool{true, false}, []bool{true, false, true, false}),
		Entry("work without accelerators", []pieces{{"a", 0, []int{0, 0}}, {"b", 9, []int{0}}}, []bool{true, true}, []bool{false}),
	)
})
