package planner_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// tightSpeed is the speed that urgent work needs with an objective of 1.5 times its run time.
const tightSpeed = 1 / 1.5

var _ = Describe("workers of uneven speeds", func() {
	wholeWorker := planner.Shape{Cores: 8000, Memory: 8000, Accels: 8}
	small := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	speeds := map[string][2]float64{"slow": {0.6, 0.55}, "unknown": {1, 0.6}, "usual": {1, 0.9}, "fast": {1.6, 1.4}}

	// input returns racks of the given kinds of workers.
	input := func(racks ...[]string) planner.Input {
		s := newCluster(len(racks), len(racks[0]))
		in, _, _ := s.input()
		for r, kinds := range racks {
			for i, kind := range kinds {
				node := &in.Nodes[r*len(kinds)+i]
				node.Speed, node.SureSpeed = speeds[kind][0], speeds[kind][1]
			}
		}
		in.TightSpeed = map[string]float64{"svc": tightSpeed}
		return in
	}
	urgentPair := planner.Unit{Service: "svc", Shape: wholeWorker, Count: 2, Gang: true, SameRack: true, Estimate: 2 * clock.Second, MinSpeed: 0.7, MaxLoss: 500}

	DescribeTable("are assigned to",
		func(racks [][]string, u planner.Unit, want []int) {
			in := input(racks...)
			in.Units = []planner.Unit{u}
			out := planner.Plan(in)
			Expect(out.Starts).To(HaveLen(1))
			Expect(out.Starts[0].Nodes).To(ConsistOf(want))
		},
		Entry("urgent gangs in a rack where they are surely fast enough, though another is tighter",
			[][]string{{"slow", "unknown", "unknown"}, {"usual", "slow", "fast"}}, urgentPair, []int{3, 5}),
		Entry("urgent gangs although their speed is unknown, if no others are there", [][]string{{"slow", "unknown", "unknown"}}, urgentPair, []int{1, 2}),
		Entry("a unit under a guarantee whose time to start is nearly over",
			[][]string{{"slow", "slow", "fast"}}, planner.Unit{Service: "svc", Shape: wholeWorker, Count: 3, Gang: true, MinSpeed: 0.7, Guaranteed: true, Waited: clock.Second}, []int{0, 1, 2}),
		Entry("gangs in one rack that has too few fast ones, rather than in two racks",
			[][]string{{"slow", "slow", "usual", "fast"}, {"slow", "slow", "usual", "fast"}}, planner.Unit{Service: "svc", Shape: wholeWorker, Count: 3, Gang: true, SameRack: true, MinSpeed: 0.7, Estimate: 2 * clock.Second}, []int{0, 2, 3}),
		Entry("urgent work for which there are too few fast ones", [][]string{{"slow", "slow", "fast"}}, planner.Unit{Service: "svc", Shape: wholeWorker, Count: 3, Gang: true, MinSpeed: 0.7}, []int{0, 1, 2}),
		Entry("urgent work that can't be in time anyway", [][]string{{"slow", "slow"}}, planner.Unit{Service: "svc", Shape: wholeWorker, Count: 2, Gang: true, Late: true}, []int{0, 1}),
		Entry("other work, the unknown ones first", [][]string{{"slow", "fast", "unknown"}}, planner.Unit{Service: "svc", Priority: 2, Shape: small, Count: 4}, []int{2, 2, 2, 2}),
		Entry("other work, the fast ones last", [][]string{{"fast", "usual", "slow"}}, planner.Unit{Service: "svc", Priority: 2, Shape: small, Count: 4}, []int{2, 2, 2, 2}),
	)

	It("are waited for by an urgent gang that can still be in time on them, while slow ones are idle", func() {
		in := input([]string{"slow", "slow", "fast", "fast"})
		for n := 2; n < 4; n++ {
			in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
			in.Running = append(in.Running, planner.RunningWork{Shape: in.Nodes[n].Capacity, Nodes: []int{n}, Pinned: true})
		}
		in.Units = []planner.Unit{urgentPair}
		out := planner.Plan(in)
		Expect(out.Starts).To(BeEmpty())
		Expect(out.Evict).To(BeEmpty())
	})

	It("are freed for urgent work where they are fast, while slow ones are idle", func() {
		in := input([]string{"slow", "slow", "fast", "fast"})
		for n := 2; n < 4; n++ {
			in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
			in.Running = append(in.Running, planner.RunningWork{Priority: 2, Shape: in.Nodes[n].Capacity, Nodes: []int{n}, Loss: 10})
		}
		in.Units = []planner.Unit{urgentPair}
		Expect(planner.Plan(in).Evict).To(ConsistOf(0, 1))
	})

	It("are named as the cause if work waits for long beside free ones that are too slow", func() {
		in := input([]string{"slow", "slow", "slow", "slow", "fast"})
		u := urgentPair
		u.Waited, u.SameRack, in.StuckAfter = 3*clock.Second, false, clock.Second
		in.Nodes[4].Free, in.Nodes[4].FreeSoon = planner.Shape{}, planner.Shape{}
		for n := range in.Nodes {
			in.Nodes[n].Capacity.Accels += 24 // the service is half full
		}
		in.Units = []planner.Unit{u}
		Expect(planner.Plan(in).Stuck).To(ConsistOf(HaveField("Cause", planner.CauseSlow)))
	})

	It("count as headroom only if they are surely fast enough", func() {
		in := input([]string{"slow", "unknown", "fast", "slow"})
		in.Headroom = map[string]int{"svc": 8}
		in.Nodes[0].Free, in.Nodes[1].Free = planner.Shape{}, planner.Shape{}
		in.Units = []planner.Unit{{Service: "svc", Priority: 2, Shape: small, Count: 16}}
		out := planner.Plan(in)
		Expect(out.Starts[0].Nodes).To(HaveEach(3))
	})

	It("change nothing where urgent work meets its objective on all of them", func() {
		for seed := range uint64(300) {
			in := randomInput(rand.New(rand.NewPCG(seed, 7)))
			before := planner.Plan(in)
			for n := range in.Nodes {
				in.Nodes[n].SureSpeed = float64(n%3) / 2
			}
			Expect(planner.Plan(in)).To(Equal(before))
		}
	})

	// play runs 600 plans, one each 100 ms, with urgent gangs of two whole workers of one rack, with an objective
	// of 1.5 times their run time, beside small tasks that leave no worker idle. It returns the share of gangs that
	// were in time and how much work of the small tasks was done.
	play := func(known bool, seed uint64) (inTime, work float64) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newCluster(6, 6)
		kinds := []string{"slow", "usual", "fast"}
		for i := range s.nodes {
			kind := speeds[kinds[random.IntN(3)]]
			s.nodes[i].Speed, s.nodes[i].SureSpeed = kind[0], kind[1]
		}
		s.add(planner.Unit{Priority: 2, Shape: small, Count: 1})
		s.headroom = 64
		if known {
			s.tight = map[string]float64{"svc": tightSpeed}
		}
		const runTime = 20
		arrived, placed := make(map[int]int), make(map[int]int)
		gangs := 0
		for t := range 600 {
			if t%4 == 0 {
				u := planner.Unit{Shape: wholeWorker, Count: 2, Gang: true, SameRack: true, Estimate: 2 * clock.Second, MaxLoss: 500}
				if known {
					u.MinSpeed = 0.7
				}
				s.add(u)
				gangs++
				arrived[len(s.units)-1] = t
			}
			for i, at := range placed {
				if len(s.placements[i]) == 0 {
					continue
				}
				slowest := min(s.nodes[s.placements[i][0][0]].Speed, s.nodes[s.placements[i][0][1]].Speed)
				if float64(t-at)*slowest < runTime {
					continue
				}
				if float64(t-arrived[i]) <= 1.5*runTime {
					inTime++
				}
				s.placements[i] = nil
			}
			for _, assigned := range s.placements[0] {
				work += s.nodes[assigned[0]].Speed
			}
			s.endRandomTasks(0, random)
			s.waiting[0] = 300
			s.step()
			for i := range arrived {
				if _, seen := placed[i]; !seen && len(s.placements[i]) > 0 {
					placed[i] = t
				}
			}
		}
		return inTime / float64(gangs), work
	}

	It("serve over nine in ten urgent gangs in time under load, where tight racks alone serve fewer, at little cost for other work", func() {
		for seed := range uint64(3) {
			before, workBefore := play(false, seed)
			after, work := play(true, seed)
			GinkgoWriter.Printf("seed %d: in time %.2f and %.2f, other work %.0f and %.0f\n", seed, before, after, workBefore, work)
			Expect(after).To(BeNumerically(">", 0.9))
			Expect(after).To(BeNumerically(">", before))
			Expect(work).To(BeNumerically(">", 0.8*workBefore))
		}
	})
})
