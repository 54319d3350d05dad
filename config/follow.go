package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/text"
)

const (
	// watchWait bounds one watch in milliseconds, so that a broken one is noticed soon.
	watchWait = 2 * clock.Second
	// maxBackoff bounds the time between two attempts to watch, in milliseconds.
	maxBackoff = 2 * clock.Second
	minBackoff = 100 * clock.Millisecond
	maxFailed  = 8
	// listenEvery is the time between two looks at the peers' revisions, in milliseconds.
	listenEvery  = clock.Second
	fetchTimeout = 2 * clock.Second
	// methodText asks a peer for the text in force there.
	methodText = "text"
)

// carried is a text on its way between entries.
type carried struct {
	Revision uint64 `cbor:"1,keyasint"`
	Raw      []byte `cbor:"2,keyasint"`
}

// follow adopts what the store's watch shows until ctx ends.
func (h *Holder) follow(ctx context.Context) {
	var index uint64
	failed := 0
	for ctx.Err() == nil {
		entries, next, err := h.opts.Store.Watch(ctx, Key, index, watchWait)
		if err != nil {
			index = 0
			failed = min(failed+1, maxFailed)
			clock.Sleep(ctx, rand.N(min(minBackoff<<failed, maxBackoff)))
			continue
		}
		failed = 0
		if next < index {
			next = 0 // the store was replaced or restored
		}
		index = next
		if h.take(entries).Revision < h.Now().Revision {
			clock.Sleep(ctx, minBackoff+rand.N(clock.Second))
			h.restore(ctx)
		}
	}
}

// take adopts the text among the watched keys and returns the stored value.
func (h *Holder) take(entries []platform.Entry) stored {
	for _, e := range entries {
		if e.Key != Key {
			continue
		}
		s, err := decode(e)
		if err == nil && s.Revision > h.Now().Revision {
			var snapshot Snapshot
			if snapshot, err = s.snapshot(); err == nil {
				h.Adopt(snapshot)
			}
		}
		if err != nil {
			h.opts.Log.WithError(err).Error("config: text in the store is unreadable")
		}
		return s
	}
	return stored{}
}

// restore writes the text in force back into a store that has lost it. The write is
// a compare-and-swap on what was read, so a stale read does no harm.
func (h *Holder) restore(ctx context.Context) {
	s, err := h.current(ctx)
	now := h.Now()
	if err != nil || s.Revision >= now.Revision {
		return
	}
	value, err := json.Marshal(s.next(write{Revision: now.Revision, Token: restored}, now.Raw))
	if err != nil {
		return
	}
	if _, err := h.opts.Store.Put(ctx, Key, s.version, value); err == nil {
		h.opts.Log.WithField("revision", now.Revision).Warn("config: the store had lost the text; written back")
	}
}

// serve answers peers that ask for the text in force.
func (h *Holder) serve() {
	h.opts.Peers.Handle(methodText, func(context.Context, string, []byte) ([]byte, error) {
		now := h.Now()
		return cbor.Marshal(carried{now.Revision, now.Raw})
	})
	h.opts.Peers.Watch(func(peer.Peer) {
		select {
		case h.nudge <- struct{}{}:
		default:
		}
	})
}

// listen fetches the text from a peer that has a higher revision until ctx ends.
func (h *Holder) listen(ctx context.Context) {
	for ctx.Err() == nil {
		if name, ok := h.ahead(); ok {
			if err := h.fetch(ctx, name); err != nil {
				h.opts.Log.WithField("peer", name).WithError(err).Debug("config: text not fetched")
				clock.Sleep(ctx, minBackoff)
				continue
			}
		}
		wait, cancel := context.WithTimeout(ctx, listenEvery.Duration())
		select {
		case <-h.nudge:
		case <-wait.Done():
		}
		cancel()
	}
}

// ahead returns a random one of the peers with the highest revision over the own one.
func (h *Holder) ahead() (name string, ok bool) {
	best, count := h.Now().Revision, 0
	for _, p := range h.opts.Peers.Peers() {
		if p.Revision < best || p.Revision == h.Now().Revision {
			continue
		}
		if p.Revision > best {
			best, count = p.Revision, 0
		}
		count++
		if rand.N(count) == 0 {
			name = p.Name
		}
	}
	return name, count > 0
}

func (h *Holder) fetch(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	raw, err := h.opts.Peers.Call(ctx, name, methodText, nil)
	if err != nil {
		return err
	}
	var c carried
	if err := cbor.Unmarshal(raw, &c); err != nil {
		return err
	}
	t, err := text.Parse(c.Raw)
	if err != nil {
		return err
	}
	h.Adopt(Snapshot{Revision: c.Revision, Raw: c.Raw, Text: t})
	return nil
}
