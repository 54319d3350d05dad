package instances

import (
	"context"
	"errors"
	"sort"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/worker"
)

// workerRecord is all that is known of one worker.
type workerRecord struct {
	instance consul.Instance
	client   *worker.Client
	// missing is when the worker was first not on the list; 0 means it is listed.
	missing clock.Millis
	// leavingUntil is until when a hint marks the worker as leaving.
	leavingUntil clock.Millis
	// failures is the number of calls in a row without an answer.
	failures int
}

// mergeList takes in a list as it was read.
func (d *Directory) mergeList(list []consul.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.lastRead = now
	listed := make(map[string]bool, len(list))
	for _, row := range list {
		if row.Domain != d.opts.Domain {
			continue
		}
		listed[row.Name] = true
		d.upsert(row)
	}
	missing := 0
	for name, k := range d.records {
		if listed[name] {
			continue
		}
		if k.missing == 0 {
			k.missing = now
		}
		if !k.instance.Leaving && k.leavingUntil <= now {
			missing++
		}
	}
	implausible := missing > max(1, len(d.records)/4)
	for name, k := range d.records {
		if k.missing > 0 && d.shouldRemove(k, implausible, now) {
			delete(d.records, name)
		}
	}
	d.publish(now)
}

func (d *Directory) upsert(row consul.Instance) {
	k, ok := d.records[row.Name]
	if !ok || k.instance.Address != row.Address {
		k = &workerRecord{}
		k.client = worker.New(worker.Config{
			Address: row.Address, Transport: d.transport,
			Observe: func(err error) { d.recordCall(row.Name, k, err) },
		})
		d.records[row.Name] = k
	}
	k.instance, k.missing = row, 0
}

// shouldRemove reports whether a worker that is not listed is given up.
func (d *Directory) shouldRemove(k *workerRecord, implausible bool, now clock.Millis) bool {
	switch {
	case k.instance.Leaving, k.leavingUntil > now, k.failures >= deadAfterFailures:
		return true
	case implausible:
		return false
	default:
		return now-k.missing > d.opts.KeepMissing
	}
}

// publish makes the workers as readers see them. The caller holds mu.
func (d *Directory) publish(now clock.Millis) {
	workers := make([]*Worker, 0, len(d.records))
	byName := make(map[string]*Worker, len(d.records))
	for name, k := range d.records {
		w := &Worker{Instance: k.instance, Client: k.client, Unlisted: k.missing > 0, Dead: k.failures >= deadAfterFailures}
		w.Leaving = w.Leaving || k.leavingUntil > now
		workers = append(workers, w)
		byName[name] = w
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	d.workers, d.byName = workers, byName
}

// recordCall learns from the end of a call to a worker.
func (d *Directory) recordCall(name string, k *workerRecord, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	refusal := worker.RefusalOf(err)
	d.mu.Lock()
	wasDead := k.failures >= deadAfterFailures
	if err == nil || refusal != "" {
		k.failures = 0
	} else {
		k.failures = min(k.failures+1, deadAfterFailures)
	}
	if wasDead != (k.failures >= deadAfterFailures) {
		d.publish(d.opts.Clock.Now())
	}
	newlyLeaving := refusal == worker.Leaving && k.leavingUntil <= d.opts.Clock.Now() && !k.instance.Leaving
	d.mu.Unlock()
	if newlyLeaving {
		d.MarkLeaving(name)
	}
}

// MarkLeaving takes a worker as leaving from now on, here and at the other entries
// of the domain, until the list shows it.
func (d *Directory) MarkLeaving(name string) {
	d.applyHint(name)
	if d.opts.Mesh != nil {
		sameDomain := func(p peer.Peer) bool { return p.Domain == d.opts.Domain }
		d.opts.Mesh.Broadcast(sameDomain, methodHint, []byte(name))
	}
}

func (d *Directory) handleHints() {
	d.opts.Mesh.Handle(methodHint, func(_ context.Context, _ string, in []byte) ([]byte, error) {
		d.applyHint(string(in))
		return nil, nil
	})
}

func (d *Directory) applyHint(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.records[name]
	if !ok {
		return
	}
	now := d.opts.Clock.Now()
	k.leavingUntil = now + d.opts.HintDuration
	d.publish(now)
}

func (d *Directory) anyMissing() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, k := range d.records {
		if k.missing > 0 {
			return true
		}
	}
	return false
}

// probeMissing asks workers that have vanished from the list whether they still answer.
func (d *Directory) probeMissing(ctx context.Context) {
	d.mu.RLock()
	var clients []*worker.Client
	for _, k := range d.records {
		if k.missing > 0 && len(clients) < maxConcurrentProbes {
			clients = append(clients, k.client)
		}
	}
	d.mu.RUnlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	var calls sync.WaitGroup
	for _, c := range clients {
		calls.Go(func() { _, _ = c.Report(ctx) })
	}
	calls.Wait()
}
