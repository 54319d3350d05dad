package check

import (
	"errors"
	"fmt"
	"strings"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

func (c *checker) checkServices() {
	seen := make(map[string]int)
	for i, s := range c.parsed.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", s.Name)
		c.checkUnique(seen, path+".name", s.Name, i)
		c.checkRange(path+".replicas", s.Replicas, 0, maxReplicas)
		if len(s.Payload) > job.MaxPayload {
			c.report(path+".payload", fmt.Sprintf("%d bytes", len(s.Payload)), fmt.Sprintf("want at most %d bytes", job.MaxPayload))
		}
		c.checkClass(path+".class", s.Class)
		c.checkDependencies(path, s)
		account, ok := c.parsed.Account(s.Account)
		if !ok {
			c.report(path+".account", s.Account, "the text has no such account")
		}
		c.checkShape(path, s, account)
	}
}

func (c *checker) checkClass(path string, value job.Class) {
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

func (c *checker) checkDependencies(path string, s text.Service) {
	seen := make(map[string]int)
	for i, name := range s.After {
		dependencyPath := fmt.Sprintf("%s.after[%d]", path, i)
		if _, ok := c.parsed.Service(name); !ok {
			c.report(dependencyPath, name, "the text has no such service")
		}
		c.checkUnique(seen, dependencyPath, name, i)
	}
}

// checkShape checks the shape of a service for valid values, for workers of the fleet that can
// hold it, and against the quota of its account.
func (c *checker) checkShape(path string, s text.Service, a text.Account) {
	var e *job.Error
	if errors.As(s.Shape.Check(), &e) {
		c.report(path+"."+e.Field, strings.Trim(fmt.Sprint(e.Value), `"`), "want "+e.Allowed)
		return
	}
	if len(c.parsed.Fleet) > 0 && !c.canHold(s.Shape) {
		c.report(path+".shape", "", fmt.Sprintf("no set of workers in one failure domain can hold %s", describeShape(s.Shape)))
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
			c.report(path+".shape", "", fmt.Sprintf("needs %d %s, which is more than the quota of %d of account %s", l.needs, l.name, l.quota, a.Name))
		}
	}
}

func describeShape(s job.Shape) string {
	adjacent := s.Adjacent
	if adjacent == "" {
		adjacent = job.Any
	}
	return fmt.Sprintf("%d tasks of %d cores, %d MB, %d accelerators and %d slots with adjacency %s",
		s.Count(), s.Cores, s.Memory, s.Accelerators, s.Slots, adjacent)
}

// checkCycles reports each cycle of dependencies between services once, with its whole path.
// It is a depth-first search.
func (c *checker) checkCycles() {
	const visiting, visited = 1, 2
	state := make(map[string]int)
	var path []string
	var visit func(i int)
	visit = func(i int) {
		s := c.parsed.Services[i]
		state[s.Name] = visiting
		path = append(path, s.Name)
		for n, name := range s.After {
			switch next, ok := c.serviceIndex(name); {
			case !ok || state[name] == visited:
			case state[name] == visiting:
				c.report(fmt.Sprintf("services[%d].after[%d]", i, n), name, "cycle: "+formatCycle(path, name))
			default:
				visit(next)
			}
		}
		path = path[:len(path)-1]
		state[s.Name] = visited
	}
	for i, s := range c.parsed.Services {
		if first, _ := c.serviceIndex(s.Name); first == i && state[s.Name] == 0 {
			visit(i)
		}
	}
}

// serviceIndex returns the index of the first service of the given name.
func (c *checker) serviceIndex(name string) (int, bool) {
	for i, s := range c.parsed.Services {
		if s.Name == name {
			return i, true
		}
	}
	return 0, false
}

// formatCycle formats the cycle that consists of the part of the path from name to its end,
// followed by name.
func formatCycle(path []string, name string) string {
	for i, p := range path {
		if p == name {
			return strings.Join(append(append([]string(nil), path[i:]...), name), " -> ")
		}
	}
	return name + " -> " + name
}
