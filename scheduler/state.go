package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/quarantine"
	"github.com/chestnutsail/chestnutsail/queue"
	"github.com/chestnutsail/chestnutsail/text"
)

// State is everything that a core knows. A core that gets it in a Load event makes the
// same decisions from then on as the core from which it was taken.
//
// A scheduler that takes over a domain sets Text, the Nodes and the Record of each of
// the Jobs, and leaves the rest empty.
type State struct {
	Options    Options          `json:"options"`
	Now        clock.Millis     `json:"now,omitempty"`
	Text       *text.Text       `json:"text,omitempty"`
	Nodes      []NodeState      `json:"nodes,omitempty"`
	Cells      []CellState      `json:"cells,omitempty"`
	Jobs       []JobState       `json:"jobs,omitempty"`
	Quarantine quarantine.State `json:"quarantine"`
	History    queue.History    `json:"history"`
}

// NodeState is what a core knows about one worker. CoolUntil is the time until which
// the worker gets no new jobs because it refused a reservation.
type NodeState struct {
	Node
	// Slot is the worker's position in its row, counted from 1. 0 means the slot of a
	// worker that is gone, or else the first empty slot.
	Slot      int          `json:"slot,omitempty"`
	Leaving   bool         `json:"leaving,omitempty"`
	Gone      bool         `json:"gone,omitempty"`
	CoolUntil clock.Millis `json:"cool,omitempty"`
}

// CellState is the position at which a guaranteed cell is bound. ReservedFor is the ID
// of the large gang for which the cell is reserved, or "".
type CellState struct {
	// Index is the position of the cell in the list of the domain's guaranteed cells.
	Index int    `json:"index"`
	Rack  string `json:"rack"`
	// Accels is the number of accelerators of each worker of the row, and Start the
	// slot of the cell's first worker.
	Accels      int    `json:"accels"`
	Start       int    `json:"start"`
	ReservedFor string `json:"reserved,omitempty"`
}

// JobState is what a core knows about one job.
//
// Since is the time at which the job began to wait. Mode is "own" for a job in its
// account's cells, "borrow" for a borrower, "outside" for a job that is exempt from the
// guarantees (see modeExempt), and "" for a job that holds no workers. WaitFor lists
// the IDs of the jobs that have to leave before this one can start. Attained is the run
// time of earlier attempts in milliseconds. Failed lists the workers on which the job
// has failed, and Failures counts its failures. DisplacedOthers tells that borrowers
// were stopped to make room for this large gang, for which ReservedWorkers are reserved.
type JobState struct {
	Record job.Record `json:"record"`
	// Seq numbers the jobs in the order in which they became known, from 1. 0 means
	// that the job is new to the core.
	Seq             int64        `json:"seq,omitempty"`
	Since           clock.Millis `json:"since,omitempty"`
	Rank            queue.Rank   `json:"rank"`
	Mode            string       `json:"mode,omitempty"`
	Parts           []PartState  `json:"parts,omitempty"`
	WaitFor         []string     `json:"wait_for,omitempty"`
	Stopping        Cause        `json:"stopping,omitempty"`
	Attained        clock.Millis `json:"attained,omitempty"`
	Failed          []string     `json:"failed,omitempty"`
	Failures        int          `json:"failures,omitempty"`
	DisplacedOthers bool         `json:"gang,omitempty"`
	ReservedWorkers []string     `json:"emptied,omitempty"`
	// NoRoom tells that no room can be made for the large gang until more resources
	// become free.
	NoRoom bool `json:"tried,omitempty"`
}

// PartState is what a job occupies on one worker.
type PartState struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
	// Cell is the position of the guaranteed cell in the list of the domain's cells,
	// counted from 1; 0 means none. Offset is the position of the worker in that cell.
	Cell   int `json:"cell,omitempty"`
	Offset int `json:"offset,omitempty"`
}

// Snapshot returns the state of the core, without the payloads of its jobs.
func (c *Core) Snapshot() State {
	s := State{Options: c.opts, Now: c.now, Text: c.text, Quarantine: c.tracker.Snapshot(), History: queue.History{Services: maps.Clone(c.history.Services)}}
	for _, w := range c.space.Workers {
		n := c.nodes[w.Name]
		s.Nodes = append(s.Nodes, NodeState{
			Node: Node{Name: w.Name, Domain: n.domain, Rack: w.Rack, Capacity: w.Capacity},
			Slot: w.Slot + 1, Leaving: n.leaving, Gone: n.gone, CoolUntil: n.coolUntil,
		})
	}
	for _, v := range c.ledger.Cells {
		if v.Row != nil {
			s.Cells = append(s.Cells, CellState{Index: v.Index, Rack: v.Row.Rack, Accels: v.Row.Accels, Start: v.Start, ReservedFor: v.ReservedFor})
		}
	}
	for _, w := range c.jobsBySeq() {
		js := w.state()
		js.NoRoom = w.noRoomVersion == c.version
		s.Jobs = append(s.Jobs, js)
	}
	return s
}

func (c *Core) jobsBySeq() []*liveJob {
	return slices.SortedFunc(maps.Values(c.jobs), func(a, b *liveJob) int { return cmp.Compare(a.seq, b.seq) })
}

func (j *liveJob) state() JobState {
	js := JobState{
		Record: j.record, Seq: j.seq, Since: j.since, Rank: j.rank, Mode: string(j.mode), Stopping: j.stopping,
		Attained: j.attained, Failed: slices.Clone(j.failed), Failures: j.failures, DisplacedOthers: j.displacedOthers, ReservedWorkers: slices.Clone(j.reservedWorkers),
		WaitFor: slices.Sorted(maps.Keys(j.waitFor)),
	}
	js.Record.Members = slices.Clone(j.record.Members)
	for _, p := range j.parts {
		ps := PartState{Worker: p.node.Name, Tasks: p.tasks, Offset: p.offset}
		if p.cell != nil {
			ps.Cell = p.cell.Index + 1
		}
		js.Parts = append(js.Parts, ps)
	}
	return js
}

// load replaces the state of the core by s.
func (c *Core) load(s State) {
	*c = *New(s.Options)
	c.now, c.text = s.Now, s.Text
	c.tracker.Load(s.Quarantine)
	c.history = queue.History{Services: maps.Clone(s.History.Services)}
	for _, n := range s.Nodes {
		if c.opts.Domain == "" {
			c.opts.Domain = n.Domain
		}
		x := c.addNode(n.Node, n.Slot-1)
		x.leaving, x.gone, x.coolUntil = n.Leaving, n.Gone, n.CoolUntil
		c.updateUsable(x)
	}
	c.rebuild()
	c.loadCells(s.Cells)
	var unassigned []*liveJob
	for _, js := range s.Jobs {
		if c.jobs[js.Record.Spec.ID()] != nil || js.Record.State.Ended() {
			continue
		}
		if js.Seq == 0 && c.rejectImpossible(&js.Record) {
			continue
		}
		j := c.loadJob(js)
		if j.record.State != job.Waiting && len(j.parts) == 0 {
			unassigned = append(unassigned, j)
		}
	}
	// Jobs that cannot be stopped have to be assigned to cells before all others.
	slices.SortStableFunc(unassigned, func(a, b *liveJob) int {
		order := map[bool]int{false: 0, true: 1}
		return cmp.Compare(order[a.spec().Stoppable()], order[b.spec().Stoppable()])
	})
	for _, j := range unassigned {
		c.adopt(j)
	}
	for _, js := range s.Jobs {
		if j := c.jobs[js.Record.Spec.ID()]; j != nil && js.NoRoom {
			j.noRoomVersion = c.version
		}
	}
	c.nextCheck = c.nextCheckTime()
}

func (c *Core) loadCells(cells []CellState) {
	for _, s := range cells {
		i := slices.IndexFunc(c.space.Rows, func(r *cell.Row) bool { return r.Rack == s.Rack && r.Accels == s.Accels })
		if i < 0 || s.Index < 0 || s.Index >= len(c.ledger.Cells) {
			continue
		}
		c.ledger.Bind(c.ledger.Cells[s.Index], c.space.Rows[i], s.Start)
		c.ledger.Cells[s.Index].ReservedFor = s.ReservedFor
	}
}

func (c *Core) loadJob(js JobState) *liveJob {
	j := c.newLiveJob(js.Record)
	j.record.Members = slices.Clone(js.Record.Members)
	if js.Seq > 0 {
		j.seq, c.seq = js.Seq, max(c.seq, js.Seq)
	}
	j.since, j.stopping, j.attained = orDefault(js.Since, c.now), js.Stopping, js.Attained
	j.failed, j.failures, j.displacedOthers = slices.Clone(js.Failed), js.Failures, js.DisplacedOthers
	for _, name := range js.ReservedWorkers {
		c.reservedFor[name] = j.id
		j.reservedWorkers = append(j.reservedWorkers, name)
	}
	for _, v := range c.ledger.Cells {
		if v.ReservedFor == j.id {
			j.reservedCell = v
		}
	}
	if len(js.Parts) > 0 {
		c.loadParts(j, js)
		return j
	}
	if j.record.State == job.Waiting {
		c.enqueue(j)
		if js.Rank != (queue.Rank{}) {
			c.dequeue(j)
			j.rank, j.queued = js.Rank, true
			j.class = c.fitClassOf(j.record.Spec, j.rank.Tier)
			j.acct.queue.Add(j, j.rank)
			c.demand.Add(j.class.size, 1)
		}
	}
	return j
}

func (c *Core) loadParts(j *liveJob, js JobState) {
	for _, p := range js.Parts {
		n := c.nodes[p.Worker]
		if n == nil {
			continue
		}
		x := part{node: n, tasks: p.Tasks, offset: p.Offset}
		if p.Cell > 0 && p.Cell <= len(c.ledger.Cells) {
			x.cell = c.ledger.Cells[p.Cell-1]
		}
		j.parts = append(j.parts, x)
	}
	j.mode, j.rank = mode(js.Mode), js.Rank
	c.occupy(j)
	if len(js.WaitFor) == 0 {
		return
	}
	j.planned, j.waitFor = true, make(map[string]bool)
	for _, id := range js.WaitFor {
		j.waitFor[id] = true
	}
	c.planned = append(c.planned, j)
	slices.SortFunc(c.planned, func(a, b *liveJob) int { return cmp.Compare(a.seq, b.seq) })
}
