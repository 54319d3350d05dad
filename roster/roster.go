// Package roster lets the instances of an installation find each other through the store. Each
// instance keeps a key with its address under a lease, and learns the others' from a mirror of
// the keys. While the store is away, the last known addresses remain.
//
// # Usage
//
//	r := roster.New(roster.Options{Store: store, Prefix: "cs/i/", Name: "e1", Address: "10.1.0.19:8521"})
//	r.Replace(entries) // called by the mirror, as is r.Apply
//	r.Peers()          // the addresses of the other instances
//	r.Stop(ctx)
package roster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

const (
	// leaseDuration is how long the key of an instance that has failed remains.
	leaseDuration = 30 * clock.Second
	// renewInterval is the interval of renewals, retryInterval the interval after a failure.
	renewInterval = 10 * clock.Second
	retryInterval = clock.Second
	callTimeout   = clock.Second
)

// Store is the part of a store client that a roster uses.
type Store interface {
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	Grant(ctx context.Context, ttl clock.Millis) (uint64, clock.Millis, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Options configures a Roster.
type Options struct {
	Store Store
	// Prefix is the prefix of the instances' keys.
	Prefix string
	// Name is the unique name of this instance, and Address the address that it registers; ""
	// registers nothing.
	Name    string
	Address string
	Clock   *clock.Clock
	Log     *logrus.Entry
}

// Roster registers one instance and knows the others. It is safe for concurrent use.
type Roster struct {
	opts    Options
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string
}

// New starts to register the instance and to keep it registered until Stop.
func New(opts Options) *Roster {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Roster{opts: opts, cancel: cancel, addresses: make(map[string]string)}
	if opts.Address != "" {
		r.running.Go(func() { r.keepRegistered(ctx) })
	}
	return r
}

// Stop removes the instance from the store and ends the background work. The error is nil.
func (r *Roster) Stop(context.Context) error {
	r.cancel()
	r.running.Wait()
	return nil
}

// Replace replaces what is known by a complete list of the entries of the store. It ignores keys
// without the prefix.
func (r *Roster) Replace(entries []kv.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.addresses)
	for _, e := range entries {
		r.add(e)
	}
}

// Apply applies changes of the store. It ignores keys without the prefix.
func (r *Roster) Apply(changes []kv.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			delete(r.addresses, c.Key)
			continue
		}
		r.add(c.Entry)
	}
}

func (r *Roster) add(e kv.Entry) {
	if strings.HasPrefix(e.Key, r.opts.Prefix) {
		r.addresses[e.Key] = string(e.Value)
	}
}

// Peers returns the addresses of the other instances, sorted.
func (r *Roster) Peers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []string
	for _, address := range r.addresses {
		if address != r.opts.Address {
			peers = append(peers, address)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// keepRegistered registers the instance and renews its lease until ctx ends.
func (r *Roster) keepRegistered(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		pause := renewInterval
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else {
			err = r.renew(ctx, lease)
		}
		if err != nil {
			pause = retryInterval
			if kv.KindOf(err) == kv.Missing {
				lease, pause = 0, 0
			}
			r.opts.Log.WithError(err).Debug("roster: registration not renewed")
		}
		clock.Sleep(ctx, pause)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
		defer cancel()
		if err := r.opts.Store.Revoke(ctx, lease); err != nil {
			r.opts.Log.WithError(err).Info("roster: registration not removed; it expires")
		}
	}
}

// register writes the key of this instance under a new lease, which it returns.
func (r *Roster) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	lease, _, err := r.opts.Store.Grant(ctx, leaseDuration)
	if err != nil {
		return 0, err
	}
	// The lease makes the key unique: the key of an earlier process of the same name may remain
	// until its lease expires.
	key := fmt.Sprintf("%s%s/%d", r.opts.Prefix, r.opts.Name, lease)
	_, err = r.opts.Store.Commit(ctx, []kv.Op{{Key: key, Value: []byte(r.opts.Address), Lease: lease}})
	if err != nil {
		return 0, err
	}
	r.opts.Log.WithFields(logrus.Fields{"key": key, "address": r.opts.Address}).Info("roster: instance registered")
	return lease, nil
}

func (r *Roster) renew(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return r.opts.Store.Renew(ctx, lease)
}
