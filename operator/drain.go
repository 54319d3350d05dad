package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/chestnutsail/chestnutsail/peer"
)

const (
	methodDrain      = "drain"
	methodWorkerLeft = "drain-worker"
)

var errNoWorker = errors.New("no such worker in the failure domain of this entry")

type drained struct {
	Entry  string `json:"entry,omitempty"`
	Worker string `json:"worker,omitempty"`
	// Durable tells that the platform's list has the mark of the worker.
	Durable bool `json:"durable"`
}

// listen takes drains that operators ask for at other entries.
func (h *Handler) listen() {
	h.opts.Mesh.Handle(methodDrain, func(_ context.Context, from string, _ []byte) ([]byte, error) {
		h.opts.Log.WithField("from", from).Info("operator: asked to leave")
		h.opts.Leave()
		return nil, nil
	})
	h.opts.Mesh.Handle(methodWorkerLeft, func(_ context.Context, _ string, in []byte) ([]byte, error) {
		return nil, h.mark(string(in))
	})
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	self := h.opts.Mesh.Self().Name
	entry, worker := r.URL.Query().Get("entry"), r.URL.Query().Get("worker")
	switch {
	case entry != "" && worker != "":
		answer(w, http.StatusBadRequest, problem{Error: "name an entry or a worker, not both"})
	case worker != "":
		h.drainWorker(w, r, worker)
	case entry == "" || entry == self:
		h.opts.Leave()
		answer(w, http.StatusAccepted, drained{Entry: self})
	default:
		h.drainEntry(w, r, entry)
	}
}

func (h *Handler) drainEntry(w http.ResponseWriter, r *http.Request, name string) {
	_, err := h.opts.Mesh.Call(r.Context(), name, methodDrain, nil)
	switch {
	case err == nil:
		answer(w, http.StatusAccepted, drained{Entry: name})
	case errors.Is(err, peer.ErrNoPeer):
		answer(w, http.StatusNotFound, problem{Error: "no live entry is called " + name})
	default:
		answer(w, http.StatusBadGateway, problem{Error: err.Error()})
	}
}

// drainWorker marks a worker at the entries of its domain, at once, and in the
// platform's list, which lags and lasts.
func (h *Handler) drainWorker(w http.ResponseWriter, r *http.Request, name string) {
	if err := h.spreadMark(r.Context(), name); err != nil {
		answer(w, http.StatusNotFound, problem{Error: "no worker is called " + name})
		return
	}
	if h.opts.Platform == nil {
		answer(w, http.StatusAccepted, drained{Worker: name})
		return
	}
	if err := h.opts.Platform.MarkLeaving(r.Context(), name, true); err != nil {
		answer(w, http.StatusServiceUnavailable, problem{
			Error: "the entries take the worker as leaving for a while, but the platform has not noted it; ask again: " + err.Error(),
		})
		return
	}
	answer(w, http.StatusAccepted, drained{Worker: name, Durable: true})
}

// spreadMark marks the worker at the first entry that knows it, which tells the
// others of its failure domain.
func (h *Handler) spreadMark(ctx context.Context, name string) error {
	if err := h.mark(name); err == nil {
		return nil
	}
	asked := map[string]bool{h.opts.Mesh.Self().Domain: true}
	for _, p := range h.opts.Mesh.Peers() {
		if asked[p.Domain] {
			continue
		}
		if _, err := h.opts.Mesh.Call(ctx, p.Name, methodWorkerLeft, []byte(name)); err == nil {
			return nil
		}
		asked[p.Domain] = true
	}
	return errNoWorker
}

func (h *Handler) mark(name string) error {
	if h.opts.Workers == nil {
		return errNoWorker
	}
	if _, ok := h.opts.Workers.Worker(name); !ok {
		return errNoWorker
	}
	h.opts.Workers.MarkLeaving(name)
	return nil
}
