package reconcile

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
)

// view is the data of one pass: the cluster text in force, the failure domains of its fleet,
// and the placements read from the store, by store key.
type view struct {
	reconciler *Reconciler
	text       *text.Text
	domains    []string
	placements map[string]placement
}

// services returns, sorted by name, the services that have replicas in the cluster text and
// those that have a placement in the store, which may have been removed from the text.
func (v view) services(ctx context.Context) []Service {
	wanted := make(map[string]text.Service)
	for _, s := range v.text.Services {
		if s.Replicas > 0 {
			wanted[s.Name] = s
		}
	}
	names := slices.Collect(maps.Keys(wanted))
	for key := range v.placements {
		_, name := splitStoreKey(key)
		names = append(names, name)
	}
	slices.Sort(names)
	var list []Service
	for _, name := range slices.Compact(names) {
		list = append(list, v.service(ctx, name, wanted[name]))
	}
	return list
}

func (v view) service(ctx context.Context, name string, s text.Service) Service {
	out := Service{Name: name, After: s.After, Wanted: s.Replicas, Hash: specHash(s)}
	count := s.Replicas
	for key, p := range v.placements {
		if _, serviceName := splitStoreKey(key); serviceName != name {
			continue
		}
		count = max(count, len(p.Replicas))
		if s.Name == "" {
			out.After = p.After
		}
	}
	for i := range count {
		out.Replicas = append(out.Replicas, v.replica(ctx, name, i))
	}
	return out
}

// owner returns the failure domain that starts and stops a replica: the one that already
// placed the replica, otherwise the domain that the replica's index selects round-robin.
func (v view) owner(name string, index int) string {
	for _, d := range v.domains {
		if p := v.placements[storeKey(d, name)]; index < len(p.Replicas) && p.Replicas[index].Generation > 0 {
			return d
		}
	}
	if len(v.domains) == 0 {
		return v.reconciler.opts.Domain
	}
	return v.domains[index%len(v.domains)]
}

func (v view) replica(ctx context.Context, name string, index int) Replica {
	r := v.reconciler
	owner := v.owner(name, index)
	out := Replica{OwnedHere: owner == r.opts.Domain, State: Absent}
	p := v.placements[storeKey(owner, name)]
	if index >= len(p.Replicas) || p.Replicas[index].Generation == 0 {
		if r.inBackoff(jobKey(name, index, record{})) {
			out.State = Undetermined
		}
		return out
	}
	rec := p.Replicas[index]
	out.Hash, out.Generation = rec.Hash, rec.Generation
	out.State = r.replicaState(ctx, owner, p.Account, jobKey(name, index, rec))
	if !out.isLive() && r.inBackoff(jobKey(name, index, record{})) {
		out.State = Undetermined
	}
	return out
}

// replicaState looks up the job of a replica and returns the state of the replica.
func (r *Reconciler) replicaState(ctx context.Context, domain, account, key string) State {
	s, err := r.opts.Jobs.State(ctx, domain, account, key)
	switch {
	case err == nil && s == job.Running:
		return Running
	case err == nil:
		return Waiting
	case kv.KindOf(err) != kv.Missing:
		return Undetermined
	}
	switch o := r.opts.Jobs.Query(ctx, account, key); {
	case o.Kind == outcome.Unknown && o.Reason == outcome.UnknownKey:
		return Absent
	case o.Final(), o.Kind == outcome.Unknown && o.Reason != outcome.StoreUnreachable:
		r.opts.Log.WithField("job", key).Debug(fmt.Sprintf("reconcile: the job of the replica has ended: %s %s %s", o.Kind, o.Reason, o.Detail))
		return Ended
	default:
		return Undetermined
	}
}

// execute carries out one step.
func (v view) execute(ctx context.Context, s Step) error {
	r := v.reconciler
	key := storeKey(r.opts.Domain, s.Service)
	rec := record{s.Hash, s.Generation}
	if s.Op == Stop {
		o := r.opts.Jobs.Cancel(ctx, v.placements[key].Account, jobKey(s.Service, s.Index, rec))
		r.opts.Log.WithField("service", s.Service).WithField("replica", s.Index).Info("reconcile: canceled the job of the replica: " + string(o.Kind))
		return nil
	}
	service, ok := v.text.Service(s.Service)
	if !ok {
		return nil
	}
	if err := v.record(ctx, key, service, s.Index, rec); err != nil {
		return err
	}
	r.startBackoff(jobKey(s.Service, s.Index, record{}))
	o := r.opts.Jobs.Submit(ctx, service.Spec(jobKey(s.Service, s.Index, rec), nil))
	if o.Kind != outcome.Accepted {
		r.opts.Log.WithField("service", s.Service).Warn(fmt.Sprintf("reconcile: could not start the replica: %s %s %s", o.Kind, o.Reason, o.Detail))
		return nil
	}
	r.opts.Log.WithField("service", s.Service).WithField("replica", s.Index).Info("reconcile: submitted the job of the replica")
	return nil
}

// record writes to the store which job is about to be submitted for a replica. It fails when
// another leader has changed the stored placement in the meantime.
func (v view) record(ctx context.Context, key string, s text.Service, index int, rec record) error {
	p := v.placements[key]
	if index < len(p.Replicas) && p.Replicas[index] == rec {
		return nil
	}
	p.Account, p.After = s.Account, s.After
	p.Replicas = slices.Clone(p.Replicas)
	for len(p.Replicas) <= index {
		p.Replicas = append(p.Replicas, record{})
	}
	p.Replicas[index] = rec
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if p.version, err = v.reconciler.opts.Store.Put(ctx, key, p.version, raw); err != nil {
		return err
	}
	v.placements[key] = p
	return nil
}
