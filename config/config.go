// Package config holds the cluster text that is in force at this entry. A new text is
// accepted once it has been written to the platform's store with compare-and-swap. The
// revision in force never decreases, even if reads are stale or the store has lost data.
//
// # Usage
//
//	h := config.New(config.Options{Store: store, Check: check.Text, Peers: mesh})
//	revision, err := h.Apply(ctx, base, raw)
//	now := h.Now() // the snapshot in force
//
// An entry receives a new text by watching the store or from a peer that has it. Peers
// publish their revision in heartbeats, and an entry with a lower one fetches the text.
package config

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/text"
)

// Key is the key of the cluster text in the store.
const Key = "text"

// Store is the part of the platform's store that a Holder uses.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]kv.Entry, uint64, error)
}

// Peers is the part of the mesh of entries that a Holder uses.
type Peers interface {
	Peers() []peer.Peer
	Call(ctx context.Context, name, method string, body []byte) ([]byte, error)
	Handle(method string, f peer.Handler)
	Watch(f func(peer.Peer))
	AnnounceRevision(revision uint64)
}

// Snapshot is one revision of the cluster text, as written and parsed.
type Snapshot struct {
	// Revision is 0 if no text is in force yet.
	Revision uint64
	Raw      []byte
	Text     *text.Text
}

// Options configures a Holder.
type Options struct {
	Store Store
	// Peers are the other entries, with which texts are exchanged; nil means none.
	Peers Peers
	// Check parses a text and returns an error if it must not be accepted; nil means
	// text.Parse.
	Check func(raw []byte) (*text.Text, error)
	// Clock provides the time from which revisions are numbered; nil means the system clock.
	Clock *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Holder holds the snapshot in force. It is safe for concurrent use.
type Holder struct {
	opts        Options
	current     atomic.Pointer[Snapshot]
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	peerChanged chan struct{}

	mu       sync.Mutex
	watchers []func(Snapshot)
}

// New returns a holder without a text in force. It receives texts from the store and the
// peers until Stop is called.
func New(opts Options) *Holder {
	if opts.Check == nil {
		opts.Check = text.Parse
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{opts: opts, cancel: cancel, peerChanged: make(chan struct{}, 1)}
	h.current.Store(&Snapshot{Text: &text.Text{}})
	h.tasks.Go(func() { h.watchStore(ctx) })
	if opts.Peers != nil {
		h.serveText()
		h.tasks.Go(func() { h.fetchFromPeers(ctx) })
	}
	return h
}

// Stop stops receiving texts from the store and the peers.
func (h *Holder) Stop(context.Context) error {
	h.cancel()
	h.tasks.Wait()
	return nil
}

// Now returns the snapshot in force.
func (h *Holder) Now() Snapshot { return *h.current.Load() }

// Watch registers a function that is called with each snapshot that comes into force, and
// calls it at once with the present one. Calls are made one at a time. f must not block, nor
// call Watch or SetIfNewer.
func (h *Holder) Watch(f func(Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
	f(h.Now())
}

// SetIfNewer puts a snapshot in force if its revision is higher than the present one, and
// reports whether it did. It publishes the revision to the peers and calls the watchers.
func (h *Holder) SetIfNewer(s Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.Now().Revision {
		return false
	}
	h.current.Store(&s)
	if h.opts.Peers != nil {
		h.opts.Peers.AnnounceRevision(s.Revision)
	}
	for _, f := range h.watchers {
		f(s)
	}
	h.opts.Log.WithField("revision", s.Revision).Info("config: new text in force")
	return true
}
