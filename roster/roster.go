// Package roster lets the instances of an installation find each other through the store. Each
// instance keeps a key with its address under a lease, and learns the others' from a mirror of
// the keys. While the store is away, the last known addresses remain.
//
// # Usage
//
//	r := roster.New(roster.Options{Store: store, Prefix: "cs/i/", Name: "e1", Address: "10.1.0.19:8521"})
//	r.Replace(entries) // called by the mirror, as is r.Apply
//	r.Peers()          // the addresses of the other instances
//	r.Others()         // the same with their failure domains
//	r.Stop(ctx)
package roster

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
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
	// registers nothing. Domain is its failure domain, Strength tells from 0 to 100 how well
	// it is suited to lead, and Memory is its memory limit in megabytes; 0 means none.
	Name     string
	Address  string
	Domain   string
	Strength int
	Memory   int
	Clock    *clock.Clock
	Log      *logrus.Entry
}

// Instance is a registered instance. Domain is its failure domain; "" if it did not register one.
// Strength tells from 0 to 100 how well it is suited to lead, and Memory is its memory limit in megabytes; 0 if it has
// none or did not register it.
type Instance struct {
	Name     string
	Address  string
	Domain   string
	Strength int
	Memory   int
}

// Roster registers one instance and knows the others. It is safe for concurrent use.
type Roster struct {
	opts    Options
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// instances holds the registered instances by key.
	instances map[string]registration
}

// registration is an instance and the version of its key.
type registration struct {
	Instance
	version uint64
}

// New starts to register the instance and to keep it registered until Stop.
func New(opts Options) *Roster {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Roster{opts: opts, cancel: cancel, instances: make(map[string]registration)}
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
	clear(r.instances)
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
			delete(r.instances, c.Key)
			continue
		}
		r.add(c.Entry)
	}
}

func (r *Roster) add(e kv.Entry) {
	if path, ok := strings.CutPrefix(e.Key, r.opts.Prefix); ok {
		i := parsePath(path)
		i.Address = string(e.Value)
		r.instances[e.Key] = registration{i, e.Version}
	}
}

// parsePath returns what a key after the prefix tells: the failure domain, the name, the strength and the memory of the
// instance, followed by its lease. Keys of earlier versions have no memory, or only the name and the lease.
func parsePath(path string) Instance {
	parts := strings.Split(path, "/")
	if len(parts) == 2 {
		return Instance{Name: parts[0]}
	}
	if len(parts) < 4 || len(parts) > 5 {
		return Instance{}
	}
	i := Instance{Domain: parts[0], Name: parts[1]}
	var err error
	if i.Strength, err = strconv.Atoi(parts[2]); err != nil {
		return Instance{}
	}
	if len(parts) == 5 {
		if i.Memory, err = strconv.Atoi(parts[3]); err != nil {
			return Instance{}
		}
	}
	return i
}

// Others returns the other instances, sorted by address.
func (r *Roster) Others() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []Instance
	for _, i := range r.instances {
		if i.Address != r.opts.Address {
			others = append(others, i.Instance)
		}
	}
	slices.SortFunc(others, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Name, b.Name))
	})
	return slices.Compact(others)
}

// Find returns the instance of a name that registered last.
func (r *Roster) Find(name string) (Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last registration
	for _, i := range r.instances {
		if i.Name == name && i.version >= last.version {
			last = i
		}
	}
	return last.Instance, last.Name != ""
}

// Peers returns the addresses of the other instances, sorted.
func (r *Roster) Peers() []string {
	var peers []string
	for _, i := range r.Others() {
		peers = append(peers, i.Address)
	}
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
		r.revoke(ctx, lease)
	}
}

// revoke ends a lease and so removes the key under it, also if ctx has ended.
func (r *Roster) revoke(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout.Duration())
	defer cancel()
	if err := r.opts.Store.Revoke(ctx, lease); err != nil {
		r.opts.Log.WithError(err).Info("roster: registration not removed; it expires")
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
	key := fmt.Sprintf("%s%s/%s/%d/%d/%d", r.opts.Prefix, r.opts.Domain, r.opts.Name, r.opts.Strength, r.opts.Memory, lease)
	_, err = r.opts.Store.Commit(ctx, []kv.Op{{Key: key, Value: []byte(r.opts.Address), Lease: lease}})
	if err != nil {
		// The write may have taken effect, or may do so while the lease lasts.
		r.revoke(ctx, lease)
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
