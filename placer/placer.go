// Package placer chooses the workers for a gang. Of all places where the gang
// fits it takes the one whose loss hurts the shapes that are waited for and
// guaranteed the least, weighed against the work that is lost by making room.
//
// # Usage
//
//	members, ok := placer.Choose(space, placer.Request{Tasks: 2, Adjacent: job.Rack,
//		Each: job.Resources{Accelerators: 8}, Rooms: rooms, Demand: demand, Prefer: 50})
package placer

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Room is how many of the gang's tasks a worker can hold.
type Room struct {
	Worker *cell.Worker
	Tasks  int
	// Lost is the work that is lost by making room for a task, in accelerator
	// milliseconds.
	Lost clock.Millis
}

// Request says what is to be placed.
type Request struct {
	Tasks    int
	Adjacent job.Adjacency
	// Each is what one task needs.
	Each job.Resources
	// Rooms lists the workers that can hold at least one task, by name.
	Rooms []Room
	// Demand counts the cells that are waited for and guaranteed.
	Demand cell.Counts
	// Prefer weighs lost work (0) against fragmentation (100).
	Prefer int
}

// Choose returns the gang's members, and false when the gang does not fit.
func Choose(space *cell.Space, q Request) ([]job.Member, bool) {
	switch q.Adjacent {
	case job.Worker:
		return single(space, q, q.Rooms)
	case job.Rack:
		return racks(space, q)
	default:
		if members, _, ok := fill(space, q, q.Rooms); ok {
			return members, true
		}
		return nil, false
	}
}

// single puts all tasks on one worker.
func single(space *cell.Space, q Request, rooms []Room) ([]job.Member, bool) {
	best, at := int64(0), -1
	for i, r := range rooms {
		if r.Tasks < q.Tasks {
			continue
		}
		if c := cost(space, q, r, q.Tasks); at < 0 || c < best {
			best, at = c, i
		}
	}
	if at < 0 {
		return nil, false
	}
	return []job.Member{{Worker: rooms[at].Worker.Name, Tasks: q.Tasks}}, true
}

// racks puts all tasks into the rack where they cost the least.
func racks(space *cell.Space, q Request) ([]job.Member, bool) {
	var order []string
	by := make(map[string][]Room)
	for _, r := range q.Rooms {
		rack := r.Worker.Rack
		if by[rack] == nil {
			order = append(order, rack)
		}
		by[rack] = append(by[rack], r)
	}
	var best []job.Member
	var least int64
	for _, rack := range order {
		members, c, ok := fill(space, q, by[rack])
		if ok && (best == nil || c < least) {
			best, least = members, c
		}
	}
	return best, best != nil
}

// fill spreads the tasks over as few of the rooms as it can and returns what that
// costs. Tasks that need several whole workers get an aligned group if there is one.
func fill(space *cell.Space, q Request, rooms []Room) ([]job.Member, int64, bool) {
	sum := 0
	for _, r := range rooms {
		sum += r.Tasks
	}
	if sum < q.Tasks {
		return nil, 0, false
	}
	if members, c, ok := window(space, q, rooms); ok {
		return members, c, true
	}
	left, total := q.Tasks, int64(0)
	var members []job.Member
	used := make([]bool, len(rooms))
	for left > 0 {
		at, c := next(space, q, rooms, used, left)
		n := min(left, rooms[at].Tasks)
		used[at] = true
		left -= n
		total += c
		members = append(members, job.Member{Worker: rooms[at].Worker.Name, Tasks: n})
	}
	return members, total, true
}

// next returns the cheapest room that holds all the tasks left, or else the
// cheapest of the largest rooms.
func next(space *cell.Space, q Request, rooms []Room, used []bool, left int) (int, int64) {
	at, best, largest := -1, int64(0), 0
	for i, r := range rooms {
		n := min(r.Tasks, left)
		if used[i] || n < largest || n == 0 {
			continue
		}
		if c := cost(space, q, r, n); at < 0 || n > largest || c < best {
			at, best, largest = i, c, n
		}
	}
	return at, best
}

// window looks for the cheapest aligned group of workers of one row that holds
// all tasks and none of whose workers is to spare.
func window(space *cell.Space, q Request, rooms []Room) ([]job.Member, int64, bool) {
	most := 0
	for _, r := range rooms {
		most = max(most, r.Tasks)
	}
	if most == 0 || q.Tasks <= most {
		return nil, 0, false
	}
	need := (q.Tasks + most - 1) / most
	width := cell.Round(need)
	room := make(map[*cell.Worker]Room, len(rooms))
	for _, r := range rooms {
		room[r.Worker] = r
	}
	var best []job.Member
	var least int64
	for _, row := range space.Rows {
		for start := 0; start+need <= len(row.Workers); start += width {
			members, c, ok := group(q, room, row, start, need)
			if ok && (best == nil || c < least) {
				best, least = members, c
			}
		}
	}
	return best, least, best != nil
}

func group(q Request, room map[*cell.Worker]Room, row *cell.Row, start, need int) ([]job.Member, int64, bool) {
	left, lost := q.Tasks, clock.Millis(0)
	for _, w := range row.Workers[start : start+need] {
		r, ok := room[w]
		if !ok || w == nil {
			return nil, 0, false
		}
		lost += r.Lost * clock.Millis(min(left, r.Tasks))
		left -= min(left, r.Tasks)
	}
	if left > 0 {
		return nil, 0, false
	}
	members := make([]job.Member, 0, need)
	left = q.Tasks
	for _, w := range row.Workers[start : start+need] {
		n := min(left, room[w].Tasks)
		left -= n
		members = append(members, job.Member{Worker: w.Name, Tasks: n})
	}
	after := row.Blocks(func(w *cell.Worker) int {
		if w.Slot >= start && w.Slot < start+need {
			return 0
		}
		return w.Idle()
	})
	return members, Weigh(lost, Harm(row.Idle, after, q.Demand), q.Prefer), true
}

// cost weighs n tasks on the worker of the room.
func cost(space *cell.Space, q Request, r Room, n int) int64 {
	row := space.Row(r.Worker)
	each := r.Worker.Cover(job.Resources{
		Cores: n * q.Each.Cores, Memory: n * q.Each.Memory,
		Accelerators: n * q.Each.Accelerators, Slots: n * q.Each.Slots,
	})
	var harm int64
	if row.Accels > 0 {
		after := row.Blocks(func(w *cell.Worker) int {
			if w == r.Worker {
				return max(w.Idle()-each, 0)
			}
			return w.Idle()
		})
		harm = Harm(row.Idle, after, q.Demand)
	}
	return Weigh(r.Lost*clock.Millis(n), harm, q.Prefer)
}

// Harm returns how many accelerators in cells of the demanded sizes are lost
// between before and after, larger cells and cells in demand weighing more.
func Harm(before, after, demand cell.Counts) int64 {
	var harm, wanted int64
	usableBefore, usableAfter := 0, 0
	for i := cell.Levels - 1; i >= 0; i-- {
		usableBefore = 2*usableBefore + before[i]
		usableAfter = 2*usableAfter + after[i]
		wanted = int64(min(max(demand[i], 0), maxDemand))
		harm += int64(usableBefore-usableAfter) << i * (1 + demandWeight*wanted)
	}
	return harm
}

const (
	maxDemand    = 8
	demandWeight = 4
	// lostUnit is the lost work in accelerator milliseconds that weighs as much as
	// one accelerator of harm.
	lostUnit = 10 * clock.Second
)

// Weigh adds lost work and harm as prefer says: 0 is for lost work, 100 for harm.
func Weigh(lost clock.Millis, harm int64, prefer int) int64 {
	return (int64(lost)/int64(lostUnit/100)*int64(100-prefer)+100*harm*int64(prefer))*tie + harm
}

// tie lets the harm decide between places of equal weight.
const tie = 16
