package operator

import (
	"net/http"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/peer"
)

// listing is what this entry knows of the instances.
type listing struct {
	Entries []entryRow `json:"entries"`
	// Domain is the failure domain of this entry, whose workers are listed.
	Domain  string      `json:"domain"`
	Workers []workerRow `json:"workers"`
	// Age is the time since the platform's list was read; -1 means never.
	Age clock.Millis `json:"list_age_ms"`
}

type entryRow struct {
	Name     string       `json:"name"`
	Address  string       `json:"address"`
	Domain   string       `json:"domain"`
	State    string       `json:"state"`
	Revision uint64       `json:"revision"`
	Leads    bool         `json:"leads"`
	Term     int64        `json:"term"`
	Age      clock.Millis `json:"age_ms"`
}

type workerRow struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Rack     string        `json:"rack"`
	State    string        `json:"state"`
	Capacity job.Resources `json:"capacity"`
}

// The states of an instance.
const (
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateDead     = "dead"
	stateUnlisted = "unlisted"
)

func (h *Handler) instances(w http.ResponseWriter, _ *http.Request) {
	self := h.opts.Mesh.Self()
	out := listing{Domain: self.Domain, Age: -1}
	if age, read := h.opts.Workers.Age(); read {
		out.Age = age
	}
	for _, p := range append([]peer.Peer{self}, h.opts.Mesh.Peers()...) {
		state := stateServing
		if p.Leaving {
			state = stateLeaving
		}
		out.Entries = append(out.Entries, entryRow{p.Name, p.Address, p.Domain, state, p.Revision, p.Leads, p.Term, p.Age})
	}
	for _, v := range h.opts.Workers.Workers() {
		state := stateServing
		switch {
		case v.Leaving:
			state = stateLeaving
		case v.Dead:
			state = stateDead
		case v.Unlisted:
			state = stateUnlisted
		}
		out.Workers = append(out.Workers, workerRow{v.Name, v.Address, v.Rack, state, v.Capacity})
	}
	answer(w, http.StatusOK, out)
}
