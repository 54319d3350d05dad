package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/chestnutsail/chestnutsail/peer"
)

const (
	methodDrain       = "drain"
	methodDrainWorker = "drain-worker"
)

var errNoWorker = errors.New("no such worker in the failure domain of this entry")

type drainResponse struct {
	Entry  string `json:"entry,omitempty"`
	Worker string `json:"worker,omitempty"`
	// Durable reports whether the platform's list of instances marks the worker as leaving.
	Durable bool `json:"durable"`
}

// handlePeerDrains registers the handlers of drain requests that other entries forward from
// their operators.
func (h *Handler) handlePeerDrains() {
	h.opts.Mesh.Handle(methodDrain, func(_ context.Context, from string, _ []byte) ([]byte, error) {
		h.opts.Log.WithField("from", from).Info("operator: another entry requested that this entry drain")
		h.opts.BeginDrain()
		return nil, nil
	})
	h.opts.Mesh.Handle(methodDrainWorker, func(_ context.Context, _ string, in []byte) ([]byte, error) {
		return nil, h.markLocalWorker(string(in))
	})
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	self := h.opts.Mesh.Self().Name
	entry, worker := r.URL.Query().Get("entry"), r.URL.Query().Get("worker")
	switch {
	case entry != "" && worker != "":
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: "name an entry or a worker, not both"})
	case worker != "":
		h.drainWorker(w, r, worker)
	case entry == "" || entry == self:
		h.opts.BeginDrain()
		writeJSON(w, http.StatusAccepted, drainResponse{Entry: self})
	default:
		h.drainEntry(w, r, entry)
	}
}

func (h *Handler) drainEntry(w http.ResponseWriter, r *http.Request, name string) {
	_, err := h.opts.Mesh.Call(r.Context(), name, methodDrain, nil)
	switch {
	case err == nil:
		writeJSON(w, http.StatusAccepted, drainResponse{Entry: name})
	case errors.Is(err, peer.ErrUnknownPeer):
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no live entry is called " + name})
	default:
		writeJSON(w, http.StatusBadGateway, errorResponse{Error: err.Error()})
	}
}

// drainWorker marks a worker as leaving in two places: at the entries of its failure domain,
// where the mark takes effect at once but is kept only for a while, and in the platform's
// list, which is updated with a delay but keeps the mark.
func (h *Handler) drainWorker(w http.ResponseWriter, r *http.Request, name string) {
	if err := h.markAtFirstEntry(r.Context(), name); err != nil {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no worker is called " + name})
		return
	}
	if h.opts.Platform == nil {
		writeJSON(w, http.StatusAccepted, drainResponse{Worker: name})
		return
	}
	if err := h.opts.Platform.MarkLeaving(r.Context(), name, true); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{
			Error: "the entries take the worker as leaving for a while, but the platform has not noted it; ask again: " + err.Error(),
		})
		return
	}
	writeJSON(w, http.StatusAccepted, drainResponse{Worker: name, Durable: true})
}

// markAtFirstEntry marks the worker as leaving at the first entry that knows the worker. It
// tries this entry and then one entry of each other failure domain. The entry that knows the
// worker notifies the other entries of its failure domain. markAtFirstEntry returns
// errNoWorker when none of these entries knows the worker or the call of the entry fails.
func (h *Handler) markAtFirstEntry(ctx context.Context, name string) error {
	if err := h.markLocalWorker(name); err == nil {
		return nil
	}
	triedDomains := map[string]bool{h.opts.Mesh.Self().Domain: true}
	for _, p := range h.opts.Mesh.Peers() {
		if triedDomains[p.Domain] {
			continue
		}
		if _, err := h.opts.Mesh.Call(ctx, p.Name, methodDrainWorker, []byte(name)); err == nil {
			return nil
		}
		triedDomains[p.Domain] = true
	}
	return errNoWorker
}

func (h *Handler) markLocalWorker(name string) error {
	if h.opts.Workers == nil {
		return errNoWorker
	}
	if _, ok := h.opts.Workers.Worker(name); !ok {
		return errNoWorker
	}
	h.opts.Workers.MarkLeaving(name)
	return nil
}
