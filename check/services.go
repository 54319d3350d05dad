package check

import (
	"errors"
	"fmt"
	"strings"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

func (c *checker) services() {
	seen := make(map[string]int)
	for i, s := range c.t.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", s.Name)
		c.unique(seen, at+".name", s.Name, i)
		c.inRange(at+".replicas", s.Replicas, 0, maxReplicas)
		if len(s.Payload) > job.MaxPayload {
			c.report(at+".payload", fmt.Sprintf("%d bytes", len(s.Payload)), fmt.Sprintf("want at most %d bytes", job.MaxPayload))
		}
		c.class(at+".class", s.Class)
		c.after(at, s)
		account, ok := c.t.Account(s.Account)
		if !ok {
			c.report(at+".account", s.Account, "the text has no such account")
		}
		c.shape(at, s, account)
	}
}

func (c *checker) class(path string, value job.Class) {
	if value == "" {
		return
	}
	for _, k := range job.Classes() {
		if k == value {
			return
		}
	}
	c.report(path, value, "want urgent, quick, batch or sweep")
}

func (c *checker) after(at string, s text.Service) {
	seen := make(map[string]int)
	for i, name := range s.After {
		here := fmt.Sprintf("%s.after[%d]", at, i)
		if _, ok := c.t.Service(name); !ok {
			c.report(here, name, "the text has no such service")
		}
		c.unique(seen, here, name, i)
	}
}

// shape checks a service's shape by itself, against the fleet and against the quota.
func (c *checker) shape(at string, s text.Service, a text.Account) {
	var e *job.Error
	if errors.As(s.Shape.Check(), &e) {
		c.report(at+"."+e.Field, strings.Trim(fmt.Sprint(e.Value), `"`), "want "+e.Allowed)
		return
	}
	if len(c.t.Fleet) > 0 && !c.holds(s.Shape) {
		c.report(at+".shape", "", fmt.Sprintf("no set of workers in one failure domain can hold %s", describe(s.Shape)))
	}
	needs := s.Shape.Resources(s.Shape.Count() * max(s.Replicas, 1))
	limits := []struct {
		name         string
		needs, quota int
	}{
		{"cores", needs.Cores, a.Quota.Cores},
		{"memory", needs.Memory, a.Quota.Memory},
		{"accels", needs.Accelerators, a.Quota.Accelerators},
		{"slots", needs.Slots, a.Quota.Slots},
	}
	for _, l := range limits {
		if l.quota > 0 && l.needs > l.quota {
			c.report(at+".shape", "", fmt.Sprintf("needs %d %s, which is more than the quota of %d of account %s", l.needs, l.name, l.quota, a.Name))
		}
	}
}

func describe(s job.Shape) string {
	adjacent := s.Adjacent
	if adjacent == "" {
		adjacent = job.Any
	}
	return fmt.Sprintf("%d tasks of %d cores, %d MB, %d accelerators and %d slots with adjacency %s",
		s.Count(), s.Cores, s.Memory, s.Accelerators, s.Slots, adjacent)
}

// cycles reports each cycle of dependencies once, in full.
func (c *checker) cycles() {
	const open, closed = 1, 2
	state := make(map[string]int)
	var path []string
	var visit func(i int)
	visit = func(i int) {
		s := c.t.Services[i]
		state[s.Name] = open
		path = append(path, s.Name)
		for n, name := range s.After {
			switch next, ok := c.service(name); {
			case !ok || state[name] == closed:
			case state[name] == open:
				c.report(fmt.Sprintf("services[%d].after[%d]", i, n), name, "cycle: "+cycle(path, name))
			default:
				visit(next)
			}
		}
		path = path[:len(path)-1]
		state[s.Name] = closed
	}
	for i, s := range c.t.Services {
		if first, _ := c.service(s.Name); first == i && state[s.Name] == 0 {
			visit(i)
		}
	}
}

// service returns the index of the first service of that name.
func (c *checker) service(name string) (int, bool) {
	for i, s := range c.t.Services {
		if s.Name == name {
			return i, true
		}
	}
	return 0, false
}

// cycle writes the part of the path from name to its end, and name again.
func cycle(path []string, name string) string {
	for i, p := range path {
		if p == name {
			return strings.Join(append(append([]string(nil), path[i:]...), name), " -> ")
		}
	}
	return name + " -> " + name
}
