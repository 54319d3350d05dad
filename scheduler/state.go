package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// State is everything that a core knows. A core that is given it in a Load event
// decides from then on as the core it was taken from.
type State struct {
	Options Options     `json:"options"`
	Text    *text.Text  `json:"text,omitempty"`
	Nodes   []NodeState `json:"nodes,omitempty"`
	Jobs    []JobState  `json:"jobs,omitempty"`
}

// NodeState is what a core knows of one worker.
type NodeState struct {
	Node
	Leaving bool `json:"leaving,omitempty"`
}

// JobState is what a core knows of one job.
type JobState struct {
	Record job.Record   `json:"record"`
	Since  clock.Millis `json:"since,omitempty"`
	// Stopping is the cause of a stop that has been asked for and not yet answered.
	Stopping Cause `json:"stopping,omitempty"`
}

// Snapshot returns what the core knows, without the payloads of its jobs.
func (c *Core) Snapshot() State {
	s := State{Options: c.opts, Text: c.text}
	for _, name := range c.order {
		n := c.nodes[name]
		s.Nodes = append(s.Nodes, NodeState{Node: n.Node, Leaving: n.leaving})
	}
	ids := slices.Clone(c.waiting)
	for _, id := range c.ids() {
		if !slices.Contains(c.waiting, id) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		r := *c.jobs[id]
		r.Spec.Payload, r.Outcome.Body = nil, nil
		s.Jobs = append(s.Jobs, JobState{Record: r, Since: c.since[id], Stopping: c.stopping[id]})
	}
	return s
}

// load puts the core into the state s.
func (c *Core) load(s State) {
	*c = *New(s.Options)
	c.text = s.Text
	for _, n := range s.Nodes {
		c.workerUp(n.Node)
		c.nodes[n.Name].leaving = n.Leaving
	}
	for _, j := range s.Jobs {
		c.submit(j.Since, j.Record)
		if j.Stopping != "" {
			c.stopping[j.Record.Spec.ID()] = j.Stopping
		}
	}
}
