// Package config holds the cluster text that is in force at this entry. A text is
// accepted when its compare-and-swap in the platform's store has won. The revision
// in force only ever grows, whatever a stale read or a store that lost data shows.
//
// # Usage
//
//	h := config.New(config.Options{Store: store, Check: check.Text, Peers: mesh})
//	revision, err := h.Apply(ctx, base, raw)
//	now := h.Now() // the snapshot in force
//
// A text reaches an entry by the store's watch or from any peer that has it: each
// tells its revision in its heartbeats, and the whole text is fetched on demand.
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

// Key is where the text stands in the store.
const Key = "text"

// Store is what the holder needs of the platform's store.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]kv.Entry, uint64, error)
}

// Peers is what the holder needs of the other entries.
type Peers interface {
	Peers() []peer.Peer
	Call(ctx context.Context, name, method string, body []byte) ([]byte, error)
	Handle(method string, f peer.Handler)
	Watch(f func(peer.Peer))
	AnnounceRevision(revision uint64)
}

// Snapshot is one revision of the text.
type Snapshot struct {
	// Revision is 0 before any text is in force.
	Revision uint64
	Raw      []byte
	Text     *text.Text
}

// Options configures a Holder.
type Options struct {
	Store Store
	// Peers carry texts between entries; nil means that there are none.
	Peers Peers
	// Check reads a text and refuses one that must not be accepted; nil means text.Parse.
	Check func(raw []byte) (*text.Text, error)
	// Clock numbers the revisions; nil means the machine's.
	Clock *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Holder keeps the snapshot in force. It is safe for concurrent use.
type Holder struct {
	opts        Options
	current     atomic.Pointer[Snapshot]
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	peerChanged chan struct{}

	mu       sync.Mutex
	watchers []func(Snapshot)
}

// New returns a holder with no text in force that follows the store and the peers
// until Stop.
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

// Stop ends following the store and the peers.
func (h *Holder) Stop(context.Context) error {
	h.cancel()
	h.tasks.Wait()
	return nil
}

// Now returns the snapshot in force.
func (h *Holder) Now() Snapshot { return *h.current.Load() }

// Watch has f called with each snapshot that comes into force, and at once with the
// present one. Calls come one after the other; f must not block.
func (h *Holder) Watch(f func(Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
	f(h.Now())
}

// SetIfNewer puts a snapshot in force if its revision is higher than the present one,
// and reports whether it did.
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
	h.opts.Log.WithField("revision", s.Revision).Info("config: text in force")
	return true
}
