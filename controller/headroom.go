package controller

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peak"
)

const (
	// demandHalfLife is the time in milliseconds in which the recorded peak of urgent demand
	// halves. It is several times as long as an urgent job takes.
	demandHalfLife = 8 * clock.Second
	// maxHeadroomFraction is the maximum fraction of a service's accelerators that is kept free.
	maxHeadroomFraction = 0.35
)

// headroom returns, by service, the number of accelerators to keep free for future urgent work:
// the recent peak of urgent demand minus the present demand, up to maxHeadroomFraction.
func (c *Controller) headroom(snap *snapshot, now clock.Millis) map[string]int {
	demand, capacity := urgentDemand(snap)
	room := make(map[string]int, len(capacity))
	for service, accels := range capacity {
		p := c.demandPeaks[service]
		if p == nil {
			p = peak.New(demandHalfLife)
			c.demandPeaks[service] = p
		}
		p.Observe(now, float64(demand[service]))
		limit := maxHeadroomFraction * float64(accels)
		room[service] = int(min(p.Value()-float64(demand[service]), limit))
	}
	return room
}

// urgentDemand returns, by service, the number of accelerators that urgent work uses or waits
// for, and the number of accelerators of all usable workers. Hopeless units that wait do not count, nor do units that
// can't start.
func urgentDemand(snap *snapshot) (demand, capacity map[string]int) {
	demand, capacity = make(map[string]int), make(map[string]int)
	for i := range snap.input.Nodes {
		n := &snap.input.Nodes[i]
		if n.Usable {
			capacity[n.Service] += n.Capacity.Accels
		}
	}
	for i := range snap.input.Running {
		work := &snap.input.Running[i]
		if work.Priority == urgentPriority {
			demand[snap.input.Nodes[work.Nodes[0]].Service] += len(work.Nodes) * work.Shape.Accels
		}
	}
	for i := range snap.input.Units {
		u := &snap.input.Units[i]
		if u.Priority == urgentPriority && !u.Hopeless && !snap.unplaceable[i] {
			demand[u.Service] += u.Count * u.Shape.Accels
		}
	}
	return demand, capacity
}
