package operator

import (
	"net/http"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/peer"
)

// instancesResponse is what this entry knows of the live entries of all failure domains and
// of the workers of its own failure domain.
type instancesResponse struct {
	Entries []entryRow `json:"entries"`
	// Domain is the failure domain of this entry, whose workers are listed.
	Domain  string      `json:"domain"`
	Workers []workerRow `json:"workers"`
	// Age is the time in milliseconds since the platform's list of workers was last read; -1
	// means that it has not been read yet.
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

// The states of an entry or a worker. Unlisted means that the worker is no longer in the
// platform's list but is still used.
const (
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateDead     = "dead"
	stateUnlisted = "unlisted"
)

func (h *Handler) instances(w http.ResponseWriter, _ *http.Request) {
	self := h.opts.Mesh.Self()
	out := instancesResponse{Domain: self.Domain, Age: -1}
	if age, known := h.opts.Workers.ListAge(); known {
		out.Age = age
	}
	for _, p := range append([]peer.Peer{self}, h.opts.Mesh.Peers()...) {
		state := stateServing
		if p.Leaving {
			state = stateLeaving
		}
		out.Entries = append(out.Entries, entryRow{p.Name, p.Address, p.Domain, state, p.Revision, p.Leads, p.Term, p.Age})
	}
	for _, worker := range h.opts.Workers.Workers() {
		state := stateServing
		switch {
		case worker.Leaving:
			state = stateLeaving
		case worker.Dead:
			state = stateDead
		case worker.Unlisted:
			state = stateUnlisted
		}
		out.Workers = append(out.Workers, workerRow{worker.Name, worker.Address, worker.Rack, state, worker.Capacity})
	}
	writeJSON(w, http.StatusOK, out)
}
