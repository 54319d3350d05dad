package planner

import "github.com/chestnutsail/chestnutsail/shortage"

// setTurns sets the turns of the units of services with too little room.
func (p *plan) setTurns() {
	for service, u := range p.usages {
		in, units := p.shortageInput(service, u)
		for k, turn := range shortage.Turns(in) {
			p.Units[units[k]].Turn = turn
		}
	}
	for i := range p.Units {
		if p.Units[i].Turn == shortage.Deferred {
			p.out.Deferred = append(p.out.Deferred, i)
		}
	}
}

// shortageInput returns the waiting and the running work of a service, and the indices of the waiting units.
// Hopeless units are left out: they are served last in any case. So are units that can't start, whose predicted room
// nobody would use.
func (p *plan) shortageInput(service string, use usage) (in shortage.Input, units []int) {
	total := use.total
	for i := range p.Units {
		u := &p.Units[i]
		if u.Service != service || u.Hopeless && !u.Guaranteed || !use.canHold(u) {
			continue
		}
		units = append(units, i)
		in.Waiting = append(in.Waiting, u.work(total))
	}
	if len(units) == 0 {
		return in, nil
	}
	for i := range p.Past {
		if u := &p.Past[i]; u.Service == service {
			in.Past = append(in.Past, u.work(total))
		}
	}
	for i := range p.Running {
		work := &p.Running[i]
		if n := &p.Nodes[work.Nodes[0]]; n.Service == service && n.Usable {
			in.Running = append(in.Running, shortage.Commitment{Room: work.Shape.share(total) * float64(len(work.Nodes)), Left: work.Left})
		}
	}
	if total.Accels > 0 {
		in.Kept = max(0, float64(p.Headroom[service])/float64(total.Accels))
	}
	return in, units
}

// work returns a unit in the terms of package shortage. total is all room of its service. Units that may evict
// make room for themselves, and work that has begun would hold what it uses for longer, so both are fixed.
func (u *Unit) work(total Shape) shortage.Work {
	w := shortage.Work{
		Class: u.Priority + 1, KeepOut: u.Priority > 0 && !u.Guaranteed, Account: u.Account, Room: u.Shape.share(total) * float64(u.Count),
		Duration: u.Estimate, Slack: u.Slack, Fixed: u.Guaranteed || u.Lasting || u.Begun || u.MaxLoss > 0,
	}
	if u.Guaranteed {
		w.Class = 0
	}
	return w
}

// share returns the share of the total that s needs of the resource of which it needs the largest
// share.
func (s Shape) share(total Shape) float64 {
	largest := 0.0
	for _, r := range [][2]int{{s.Cores, total.Cores}, {s.Memory, total.Memory}, {s.Accels, total.Accels}} {
		if r[1] > 0 {
			largest = max(largest, float64(r[0])/float64(r[1]))
		}
	}
	return largest
}
