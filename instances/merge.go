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

// workerRecord is what the directory knows about one worker.
type workerRecord struct {
	instance consul.Instance
	client   *worker.Client
	// missing is the time at which the worker was first missing from the list; 0 means that
	// it is listed.
	missing clock.Millis
	// leavingUntil is the time until which a hint marks the worker as leaving.
	leavingUntil clock.Millis
	// failures is the number of consecutive calls without an answer, at most
	// deadAfterFailures.
	failures int
}

// mergeList updates the directory from a newly read list. The list is implausible if more
// than a quarter of the workers, and more than one, are missing without being marked as
// leaving.
func (d *Directory) mergeList(list []consul.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	d.lastRead = now
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		if instance.Domain != d.opts.Domain {
			continue
		}
		listed[instance.Name] = true
		d.upsert(instance)
	}
	missing := 0
	for name, record := range d.records {
		if listed[name] {
			continue
		}
		if record.missing == 0 {
			record.missing = now
		}
		if !record.instance.Leaving && record.leavingUntil <= now {
			missing++
		}
	}
	implausible := missing > max(1, len(d.records)/4)
	for name, record := range d.records {
		if record.missing > 0 && d.shouldRemove(record, implausible, now) {
			delete(d.records, name)
		}
	}
	d.publish(now)
}

func (d *Directory) upsert(instance consul.Instance) {
	record, ok := d.records[instance.Name]
	if !ok || record.instance.Address != instance.Address {
		record = &workerRecord{}
		record.client = worker.New(worker.Config{
			Address: instance.Address, Transport: d.transport,
			Observe: func(err error) { d.recordCall(instance.Name, record, err) },
		})
		d.records[instance.Name] = record
	}
	record.instance, record.missing = instance, 0
}

// shouldRemove reports whether a worker that is missing from the list is removed from the
// directory.
func (d *Directory) shouldRemove(record *workerRecord, implausible bool, now clock.Millis) bool {
	switch {
	case record.instance.Leaving, record.leavingUntil > now, record.failures >= deadAfterFailures:
		return true
	case implausible:
		return false
	default:
		return now-record.missing > d.opts.KeepMissing
	}
}

// publish rebuilds the workers that Workers and Worker return. The caller holds mu.
func (d *Directory) publish(now clock.Millis) {
	workers := make([]*Worker, 0, len(d.records))
	byName := make(map[string]*Worker, len(d.records))
	for name, record := range d.records {
		w := &Worker{Instance: record.instance, Client: record.client, Unlisted: record.missing > 0, Dead: record.failures >= deadAfterFailures}
		w.Leaving = w.Leaving || record.leavingUntil > now
		workers = append(workers, w)
		byName[name] = w
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	d.workers, d.byName = workers, byName
}

// recordCall updates the record of a worker after a call to it. A refusal counts as an
// answer. A worker that refuses since it is leaving is marked as leaving.
func (d *Directory) recordCall(name string, record *workerRecord, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	refusal := worker.RefusalOf(err)
	d.mu.Lock()
	wasDead := record.failures >= deadAfterFailures
	if err == nil || refusal != "" {
		record.failures = 0
	} else {
		record.failures = min(record.failures+1, deadAfterFailures)
	}
	if wasDead != (record.failures >= deadAfterFailures) {
		d.publish(d.opts.Clock.Now())
	}
	newlyLeaving := refusal == worker.Leaving && record.leavingUntil <= d.opts.Clock.Now() && !record.instance.Leaving
	d.mu.Unlock()
	if newlyLeaving {
		d.MarkLeaving(name)
	}
}

// MarkLeaving marks a worker as leaving at this entry and at the other entries of the
// failure domain. The mark lasts for Options.HintDuration, after which the platform's list
// should show it.
func (d *Directory) MarkLeaving(name string) {
	d.applyHint(name)
	if d.opts.Mesh != nil {
		sameDomain := func(p peer.Peer) bool { return p.Domain == d.opts.Domain }
		d.opts.Mesh.Broadcast(sameDomain, methodHint, []byte(name))
	}
}

func (d *Directory) handleHints() {
	d.opts.Mesh.Handle(methodHint, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		d.applyHint(string(body))
		return nil, nil
	})
}

func (d *Directory) applyHint(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record, ok := d.records[name]
	if !ok {
		return
	}
	now := d.opts.Clock.Now()
	record.leavingUntil = now + d.opts.HintDuration
	d.publish(now)
}

func (d *Directory) anyMissing() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, record := range d.records {
		if record.missing > 0 {
			return true
		}
	}
	return false
}

// probeMissing calls workers that are missing from the list, at most maxConcurrentProbes, to
// find out whether they still answer. The results are recorded by recordCall.
func (d *Directory) probeMissing(ctx context.Context) {
	d.mu.RLock()
	var clients []*worker.Client
	for _, record := range d.records {
		if record.missing > 0 && len(clients) < maxConcurrentProbes {
			clients = append(clients, record.client)
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
