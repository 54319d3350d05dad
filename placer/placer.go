// Package placer chooses the workers for a gang. Among all sets of workers on which the
// gang fits, it looks for the one with the lowest cost. The cost combines the
// fragmentation that the placement causes, that is, the loss of cells of the sizes that
// are waited for or guaranteed, and the work that is lost by making room.
//
// # Usage
//
//	members, ok := placer.Choose(space, placer.Request{Tasks: 2, Adjacent: job.Rack,
//		TaskNeeds: job.Resources{Accelerators: 8}, Rooms: rooms, Demand: demand, FragmentationWeight: 50})
package placer

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Room is a worker that can hold at least one task of the gang, with the number of
// tasks that it can hold.
type Room struct {
	Worker *cell.Worker
	Tasks  int
	// LostWork is the work that is lost by making room for one task, in accelerator
	// milliseconds.
	LostWork clock.Millis
}

// Request describes the gang to place and the workers to choose from.
type Request struct {
	Tasks    int
	Adjacent job.Adjacency
	// TaskNeeds is what one task needs.
	TaskNeeds job.Resources
	// Rooms lists the workers that can hold at least one task, sorted by name.
	Rooms []Room
	// Demand counts the cells that are waited for or guaranteed.
	Demand cell.Counts
	// FragmentationWeight is the weight of fragmentation against lost work: with 0 only
	// lost work counts, with 100 only fragmentation.
	FragmentationWeight int
}

// Choose returns the members of the gang, and false if the gang does not fit.
func Choose(space *cell.Space, req Request) ([]job.Member, bool) {
	switch req.Adjacent {
	case job.Worker:
		return chooseWorker(space, req, req.Rooms)
	case job.Rack:
		return chooseRack(space, req)
	default:
		if members, _, ok := spread(space, req, req.Rooms); ok {
			return members, true
		}
		return nil, false
	}
}

// chooseWorker puts all tasks on the one worker where they cost the least, and reports
// false if no worker can hold all of them.
func chooseWorker(space *cell.Space, req Request, rooms []Room) ([]job.Member, bool) {
	bestCost, bestIndex := int64(0), -1
	for i, r := range rooms {
		if r.Tasks < req.Tasks {
			continue
		}
		if c := cost(space, req, r, req.Tasks); bestIndex < 0 || c < bestCost {
			bestCost, bestIndex = c, i
		}
	}
	if bestIndex < 0 {
		return nil, false
	}
	return []job.Member{{Worker: rooms[bestIndex].Worker.Name, Tasks: req.Tasks}}, true
}

// chooseRack puts all tasks into the one rack where they cost the least, and reports
// false if no rack can hold all of them.
func chooseRack(space *cell.Space, req Request) ([]job.Member, bool) {
	var order []string
	byRack := make(map[string][]Room)
	for _, r := range req.Rooms {
		rack := r.Worker.Rack
		if byRack[rack] == nil {
			order = append(order, rack)
		}
		byRack[rack] = append(byRack[rack], r)
	}
	var best []job.Member
	var bestCost int64
	for _, rack := range order {
		members, c, ok := spread(space, req, byRack[rack])
		if ok && (best == nil || c < bestCost) {
			best, bestCost = members, c
		}
	}
	return best, best != nil
}

// spread distributes the tasks over few of the rooms, and returns the cost. A gang that
// no single worker can hold is put on an aligned group of workers if there is one that
// can. spread reports false if the rooms cannot hold all tasks.
func spread(space *cell.Space, req Request, rooms []Room) ([]job.Member, int64, bool) {
	sum := 0
	for _, r := range rooms {
		sum += r.Tasks
	}
	if sum < req.Tasks {
		return nil, 0, false
	}
	if members, c, ok := cheapestGroup(space, req, rooms); ok {
		return members, c, true
	}
	remaining, total := req.Tasks, int64(0)
	var members []job.Member
	used := make([]bool, len(rooms))
	for remaining > 0 {
		at, c := nextRoom(space, req, rooms, used, remaining)
		n := min(remaining, rooms[at].Tasks)
		used[at] = true
		remaining -= n
		total += c
		members = append(members, job.Member{Worker: rooms[at].Worker.Name, Tasks: n})
	}
	return members, total, true
}

// nextRoom returns the index and the cost of the cheapest unused room that holds all
// remaining tasks or, if there is none, of the cheapest of those that hold the most.
func nextRoom(space *cell.Space, req Request, rooms []Room, used []bool, remaining int) (int, int64) {
	best, bestCost, mostTasks := -1, int64(0), 0
	for i, r := range rooms {
		n := min(r.Tasks, remaining)
		if used[i] || n < mostTasks || n == 0 {
			continue
		}
		if c := cost(space, req, r, n); best < 0 || n > mostTasks || c < bestCost {
			best, bestCost, mostTasks = i, c, n
		}
	}
	return best, bestCost
}

// cheapestGroup looks for the cheapest aligned group of workers of one row that holds
// all tasks on as few workers as possible. It reports false if there is none, or if one
// worker can hold all tasks.
func cheapestGroup(space *cell.Space, req Request, rooms []Room) ([]job.Member, int64, bool) {
	maxTasks := 0
	for _, r := range rooms {
		maxTasks = max(maxTasks, r.Tasks)
	}
	if maxTasks == 0 || req.Tasks <= maxTasks {
		return nil, 0, false
	}
	workers := (req.Tasks + maxTasks - 1) / maxTasks
	width := cell.RoundUp(workers)
	roomOf := make(map[*cell.Worker]Room, len(rooms))
	for _, r := range rooms {
		roomOf[r.Worker] = r
	}
	var best []job.Member
	var bestCost int64
	for _, row := range space.Rows {
		for start := 0; start+workers <= len(row.Workers); start += width {
			members, c, ok := placeInGroup(req, roomOf, row, start, workers)
			if ok && (best == nil || c < bestCost) {
				best, bestCost = members, c
			}
		}
	}
	return best, bestCost, best != nil
}

func placeInGroup(req Request, roomOf map[*cell.Worker]Room, row *cell.Row, start, workers int) ([]job.Member, int64, bool) {
	remaining, lostWork := req.Tasks, clock.Millis(0)
	for _, w := range row.Workers[start : start+workers] {
		r, ok := roomOf[w]
		if !ok || w == nil {
			return nil, 0, false
		}
		lostWork += r.LostWork * clock.Millis(min(remaining, r.Tasks))
		remaining -= min(remaining, r.Tasks)
	}
	if remaining > 0 {
		return nil, 0, false
	}
	members := make([]job.Member, 0, workers)
	remaining = req.Tasks
	for _, w := range row.Workers[start : start+workers] {
		n := min(remaining, roomOf[w].Tasks)
		remaining -= n
		members = append(members, job.Member{Worker: w.Name, Tasks: n})
	}
	after := row.MaximalCells(func(w *cell.Worker) int {
		if w.Slot >= start && w.Slot < start+workers {
			return 0
		}
		return w.Idle()
	})
	return members, CombinedCost(lostWork, FragmentationHarm(row.Idle, after, req.Demand), req.FragmentationWeight), true
}

// cost returns the cost of placing n tasks on the worker of the room.
func cost(space *cell.Space, req Request, r Room, n int) int64 {
	row := space.Row(r.Worker)
	accels := r.Worker.AccelsNeeded(job.Resources{
		Cores: n * req.TaskNeeds.Cores, Memory: n * req.TaskNeeds.Memory,
		Accelerators: n * req.TaskNeeds.Accelerators, Slots: n * req.TaskNeeds.Slots,
	})
	var harm int64
	if row.Accels > 0 {
		after := row.MaximalCells(func(w *cell.Worker) int {
			if w == r.Worker {
				return max(w.Idle()-accels, 0)
			}
			return w.Idle()
		})
		harm = FragmentationHarm(row.Idle, after, req.Demand)
	}
	return CombinedCost(r.LostWork*clock.Millis(n), harm, req.FragmentationWeight)
}

// FragmentationHarm returns the harm done when the free cells change from before to
// after: the number of accelerators in cells of each size that can no longer be formed,
// summed over all sizes. Sizes that are in demand weigh more: demandWeight is added to
// the weight 1 for each cell in demand, up to maxDemand cells. The loss of a large cell
// weighs more as well, because it counts at each smaller size too.
func FragmentationHarm(before, after, demand cell.Counts) int64 {
	var harm, demanded int64
	usableBefore, usableAfter := 0, 0
	for i := cell.Levels - 1; i >= 0; i-- {
		usableBefore = 2*usableBefore + before[i]
		usableAfter = 2*usableAfter + after[i]
		demanded = int64(min(max(demand[i], 0), maxDemand))
		harm += int64(usableBefore-usableAfter) << i * (1 + demandWeight*demanded)
	}
	return harm
}

const (
	maxDemand    = 8
	demandWeight = 4
	// lostWorkUnit is the amount of lost work, in accelerator milliseconds, that weighs as
	// much as one accelerator of harm.
	lostWorkUnit = 10 * clock.Second
)

// CombinedCost adds up lost work, in accelerator milliseconds, and harm. With a
// fragmentationWeight of 0 only lost work counts, with 100 only harm. At equal cost,
// the smaller harm decides.
func CombinedCost(lost clock.Millis, harm int64, fragmentationWeight int) int64 {
	return (int64(lost)/int64(lostWorkUnit/100)*int64(100-fragmentationWeight)+100*harm*int64(fragmentationWeight))*costScale + harm
}

// costScale multiplies the weighted cost, so that the harm that is added afterwards
// decides between placements of equal weighted cost.
const costScale = 16
