package controller

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peak"
)

const (
	// demandHalf is the time in milliseconds in which the remembered peak of urgent demand
	// halves: several urgent jobs' length.
	demandHalf = 8 * clock.Second
	// maxHeadroom is the largest part of a service's accelerators that is kept free.
	maxHeadroom = 0.35
)

// headroom returns the accelerators of each service to keep free for urgent work that is
// still to come: what its demand of late had at its peak beyond what it has now.
func (c *Controller) headroom(w *world, now clock.Millis) map[string]int {
	demand, capacity := urgentDemand(w)
	room := make(map[string]int, len(capacity))
	for service, accels := range capacity {
		p := c.demand[service]
		if p == nil {
			p = peak.New(demandHalf)
			c.demand[service] = p
		}
		p.Observe(now, float64(demand[service]))
		most := maxHeadroom * float64(accels)
		room[service] = int(min(p.Value()-float64(demand[service]), most))
	}
	return room
}

// urgentDemand returns the accelerators that urgent work holds or waits for, and those that
// there are, by service.
func urgentDemand(w *world) (demand, capacity map[string]int) {
	demand, capacity = make(map[string]int), make(map[string]int)
	for i := range w.in.Nodes {
		n := &w.in.Nodes[i]
		if n.Usable {
			capacity[n.Service] += n.Capacity.Accels
		}
	}
	for i := range w.in.Held {
		h := &w.in.Held[i]
		if h.Priority == urgent {
			demand[w.in.Nodes[h.Nodes[0]].Service] += len(h.Nodes) * h.Shape.Accels
		}
	}
	for i := range w.in.Units {
		u := &w.in.Units[i]
		if u.Priority == urgent && !u.Hopeless {
			demand[u.Service] += u.Count * u.Shape.Accels
		}
	}
	return demand, capacity
}
