// Package claim makes a request that must not be repeated run at most once. Such a
// request is claimed in the platform's store, by creating a key, before anything
// is sent to a worker.
//
// # Usage
//
//	b := claim.New(claim.Options{Store: store})
//	c, err := b.Take(ctx, claim.Claim{Account: "kulhar", Key: "refund-1", Hash: h, Worker: "a-1"})
//	if err != nil { ... } // nothing may be sent
//	if !c.Own { ... }     // somebody claimed it before: c tells who runs it where
package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/platform"
)

// Store is what claims need of the platform's store.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Get(ctx context.Context, key string) (platform.Entry, error)
}

// Claim is the durable mark that a request has been taken to be run.
type Claim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Hash is the hash of the request, to tell another request under a used key.
	Hash string `json:"hash"`
	// Token tells the claimer's own write from others'.
	Token string `json:"token"`
	// Worker and Attempt say where the request was sent.
	Worker  string       `json:"worker"`
	Attempt int          `json:"attempt"`
	Taken   clock.Millis `json:"taken"`
	// Outcome is set once the request has ended.
	Outcome *outcome.Outcome `json:"outcome,omitempty"`

	// Version is the claim's version in the store.
	Version uint64 `json:"-"`
	// Own reports whether this Take made the claim.
	Own bool `json:"-"`
}

// Options configures a Book.
type Options struct {
	Store Store
	// Clock defaults to the machine's.
	Clock *clock.Clock
}

// Book makes and updates claims. It is safe for concurrent use.
type Book struct{ opts Options }

// New returns a book of claims kept in opts.Store.
func New(opts Options) *Book {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	return &Book{opts: opts}
}

// Take claims a request. When it was claimed before, the standing claim is
// returned with Own false. An error of kind platform.Refused means that the claim
// was certainly not made; platform.Ambiguous, that it may still appear.
func (b *Book) Take(ctx context.Context, c Claim) (Claim, error) {
	c.Token = rand.Text()
	c.Taken = b.opts.Clock.Now()
	version, err := b.put(ctx, c, 0)
	switch platform.KindOf(err) {
	case platform.OK:
		c.Version, c.Own = version, true
		return c, nil
	case platform.Refused:
		return c, err
	}
	standing, readErr := b.Find(ctx, c.Account, c.Key)
	if readErr != nil {
		return c, &platform.Error{Op: "claim", Key: key(c.Account, c.Key), Kind: platform.Ambiguous, Err: readErr}
	}
	standing.Own = standing.Token == c.Token
	return standing, nil
}

// Find returns the standing claim of a key, or an error of kind platform.Missing.
func (b *Book) Find(ctx context.Context, account, name string) (Claim, error) {
	entry, err := b.opts.Store.Get(ctx, key(account, name))
	if err != nil {
		return Claim{}, err
	}
	var c Claim
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return Claim{}, err
	}
	c.Version = entry.Version
	return c, nil
}

// Update replaces the claim c by its changed value if nobody changed it since.
func (b *Book) Update(ctx context.Context, c Claim) (Claim, error) {
	version, err := b.put(ctx, c, c.Version)
	if err != nil {
		return c, err
	}
	c.Version = version
	return c, nil
}

func (b *Book) put(ctx context.Context, c Claim, version uint64) (uint64, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	return b.opts.Store.Put(ctx, key(c.Account, c.Key), version, value)
}

func key(account, name string) string { return "claim/" + account + "/" + name }
