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
	// watchWait is the longest time in milliseconds that one watch waits for a change. It is
	// short, so that a connection that is stuck is noticed soon.
	watchWait = 2 * clock.Second
	// maxBackoff is the longest time in milliseconds between two attempts to watch the store.
	maxBackoff          = 2 * clock.Second
	minBackoff          = 100 * clock.Millisecond
	maxBackoffDoublings = 8
	// peerPollInterval is the time in milliseconds between two checks of the peers' revisions.
	peerPollInterval = clock.Second
	fetchTimeout     = clock.Second
	// methodText is the mesh method that returns the text in force at a peer.
	methodText = "text"
)

// textMessage is a text as sent from one entry to another.
type textMessage struct {
	Revision uint64 `cbor:"1,keyasint"`
	Raw      []byte `cbor:"2,keyasint"`
}

// watchStore watches the store until ctx ends and puts newer texts in force. It writes the
// text in force back if the store shows an older one.
func (h *Holder) watchStore(ctx context.Context) {
	var index uint64
	failures := 0
	for ctx.Err() == nil {
		entries, newIndex, err := h.opts.Store.Watch(ctx, Key, index, watchWait)
		if err != nil {
			index = 0
			failures = min(failures+1, maxBackoffDoublings)
			clock.Sleep(ctx, rand.N(min(minBackoff<<failures, maxBackoff)))
			continue
		}
		failures = 0
		if newIndex < index {
			newIndex = 0 // the store was replaced or restored and has restarted its index
		}
		index = newIndex
		if h.adoptStored(entries).Revision < h.Now().Revision {
			clock.Sleep(ctx, minBackoff+rand.N(clock.Second))
			h.restoreStored(ctx)
		}
	}
}

// adoptStored puts the text among the watched keys in force if it is newer. It returns the
// stored text.
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
			h.opts.Log.WithError(err).Error("config: could not read the text in the store")
		}
		return s
	}
	return storedText{}
}

// restoreStored writes the text in force to the store if the store has lost it. It uses
// compare-and-swap with the version that it read, so after a stale read the write fails.
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
		h.opts.Log.WithField("revision", now.Revision).Warn("config: the store had lost the text; wrote the text in force back")
	}
}

// serveText registers the handler that sends the text in force to peers, and watches peers
// for new revisions.
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

// fetchFromPeers fetches newer texts from peers until ctx ends. After a failure it tries the
// other peers with a higher revision before it tries the same peer again.
func (h *Holder) fetchFromPeers(ctx context.Context) {
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		name, ok := h.choosePeer(tried)
		if ok {
			err := h.fetch(ctx, name)
			if err == nil {
				clear(tried)
				continue
			}
			tried[name] = true
			h.opts.Log.WithField("peer", name).WithError(err).Debug("config: could not fetch the text from a peer")
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

// waitForPeers waits until a peer has changed or the timeout has passed.
func (h *Holder) waitForPeers(ctx context.Context, timeout clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-h.peerChanged:
	case <-ctx.Done():
	}
}

// choosePeer returns the name of a peer with a higher revision that has not been tried. It
// prefers peers with an open connection, and among these the one with the lowest Age.
func (h *Holder) choosePeer(tried map[string]bool) (name string, ok bool) {
	now := h.Now().Revision
	var best peer.Peer
	for _, p := range h.opts.Peers.Peers() {
		if p.Revision <= now || tried[p.Name] {
			continue
		}
		preferred := p.Connected && !best.Connected || p.Connected == best.Connected && p.Age < best.Age
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
	var message textMessage
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return err
	}
	t, err := text.Parse(message.Raw)
	if err != nil {
		return err
	}
	h.SetIfNewer(Snapshot{Revision: message.Revision, Raw: message.Raw, Text: t})
	return nil
}
