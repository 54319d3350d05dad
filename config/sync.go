package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/text"
)

const (
	// watchWait bounds one watch in milliseconds, so that a broken one is noticed soon.
	watchWait = 2 * clock.Second
	// maxBackoff bounds the time between two attempts to watch, in milliseconds.
	maxBackoff          = 2 * clock.Second
	minBackoff          = 100 * clock.Millisecond
	maxBackoffDoublings = 8
	// peerPollInterval is the time between two looks at the peers' revisions, in milliseconds.
	peerPollInterval = clock.Second
	fetchTimeout     = clock.Second
	// methodText asks a peer for the text in force there.
	methodText = "text"
)

// textMessage is a text on its way between entries.
type textMessage struct {
	Revision uint64 `cbor:"1,keyasint"`
	Raw      []byte `cbor:"2,keyasint"`
}

// watchStore adopts what the store's watch shows until ctx ends.
func (h *Holder) watchStore(ctx context.Context) {
	var index uint64
	failed := 0
	for ctx.Err() == nil {
		entries, newIndex, err := h.opts.Store.Watch(ctx, Key, index, watchWait)
		if err != nil {
			index = 0
			failed = min(failed+1, maxBackoffDoublings)
			clock.Sleep(ctx, rand.N(min(minBackoff<<failed, maxBackoff)))
			continue
		}
		failed = 0
		if newIndex < index {
			newIndex = 0 // the store was replaced or restored
		}
		index = newIndex
		if h.adoptStored(entries).Revision < h.Now().Revision {
			clock.Sleep(ctx, minBackoff+rand.N(clock.Second))
			h.restoreStored(ctx)
		}
	}
}

// adoptStored adopts the text among the watched keys and returns the stored value.
func (h *Holder) adoptStored(entries []kv.Entry) storedText {
	for _, e := range entries {
		if e.Key != Key {
			continue
		}
		s, err := decode(e)
		if err == nil && s.Revision > h.Now().Revision {
			var snapshot Snapshot
			if snapshot, err = s.snapshot(); err == nil {
				h.SetIfNewer(snapshot)
			}
		}
		if err != nil {
			h.opts.Log.WithError(err).Error("config: text in the store is unreadable")
		}
		return s
	}
	return storedText{}
}

// restoreStored writes the text in force back into a store that has lost it. The write is
// a compare-and-swap on what was read, so a stale read does no harm.
func (h *Holder) restoreStored(ctx context.Context) {
	s, err := h.readStored(ctx)
	now := h.Now()
	if err != nil || s.Revision >= now.Revision {
		return
	}
	value, err := json.Marshal(s.successor(writeID{Revision: now.Revision, Token: restoredToken}, now.Raw))
	if err != nil {
		return
	}
	if _, err := h.opts.Store.Put(ctx, Key, s.version, value); err == nil {
		h.opts.Log.WithField("revision", now.Revision).Warn("config: the store had lost the text; written back")
	}
}

// serveText answers peers that ask for the text in force.
func (h *Holder) serveText() {
	h.opts.Peers.Handle(methodText, func(context.Context, string, []byte) ([]byte, error) {
		now := h.Now()
		return cbor.Marshal(textMessage{now.Revision, now.Raw})
	})
	h.opts.Peers.Watch(func(peer.Peer) {
		select {
		case h.peerChanged <- struct{}{}:
		default:
		}
	})
}

// fetchFromPeers fetches the text from a peer that has a higher revision until ctx ends. A
// peer that did not hand it over is asked again after the others.
func (h *Holder) fetchFromPeers(ctx context.Context) {
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		name, ok := h.newestPeer(tried)
		if ok {
			err := h.fetch(ctx, name)
			if err == nil {
				clear(tried)
				continue
			}
			tried[name] = true
			h.opts.Log.WithField("peer", name).WithError(err).Debug("config: text not fetched")
			continue
		}
		wait := peerPollInterval
		if len(tried) > 0 {
			wait = minBackoff
		}
		clear(tried)
		h.waitForPeers(ctx, wait)
	}
}

// waitForPeers waits for news of a peer's revision, or for a span of time.
func (h *Holder) waitForPeers(ctx context.Context, d clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-h.peerChanged:
	case <-ctx.Done():
	}
}

// newestPeer returns the peer to fetch a higher revision from, besides those tried: a
// connected one first, then the one that was heard of last.
func (h *Holder) newestPeer(tried map[string]bool) (name string, ok bool) {
	now := h.Now().Revision
	var best peer.Peer
	for _, p := range h.opts.Peers.Peers() {
		if p.Revision <= now || tried[p.Name] {
			continue
		}
		preferred := p.Linked && !best.Linked || p.Linked == best.Linked && p.Age < best.Age
		if best.Name == "" || preferred {
			best = p
		}
	}
	return best.Name, best.Name != ""
}

func (h *Holder) fetch(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	raw, err := h.opts.Peers.Call(ctx, name, methodText, nil)
	if err != nil {
		return err
	}
	var c textMessage
	if err := cbor.Unmarshal(raw, &c); err != nil {
		return err
	}
	t, err := text.Parse(c.Raw)
	if err != nil {
		return err
	}
	h.SetIfNewer(Snapshot{Revision: c.Revision, Raw: c.Raw, Text: t})
	return nil
}
