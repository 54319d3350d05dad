package check

import (
	"fmt"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

func (c *checker) accounts() {
	seen := make(map[string]int)
	for i, a := range c.t.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		c.name(at+".name", a.Name)
		c.unique(seen, at+".name", a.Name, i)
		c.inRange(at+".weight", a.Weight, 0, maxWeight)
		c.inRange(at+".quota.cores", a.Quota.Cores, 0, maxQuota)
		c.inRange(at+".quota.memory", a.Quota.Memory, 0, maxQuota)
		c.inRange(at+".quota.accels", a.Quota.Accelerators, 0, maxQuota)
		c.inRange(at+".quota.slots", a.Quota.Slots, 0, maxQuota)
		c.owed(at, a)
	}
}

// owed checks one account's guarantees by themselves.
func (c *checker) owed(at string, a text.Account) {
	total := 0
	for i, g := range a.Guarantee {
		here := fmt.Sprintf("%s.guarantee[%d]", at, i)
		c.inRange(here+".accels", g.Accels, 1, job.MaxAccelerators*job.MaxTasks)
		c.inRange(here+".count", g.Count, 1, maxCells)
		c.domain(here+".domain", g.Domain)
		if g.Accels > 0 && g.Count > 0 && g.Count <= maxCells {
			total += g.Accels * g.Count
		}
	}
	if quota := a.Quota.Accelerators; quota > 0 && total > quota {
		c.report(at+".guarantee", "", fmt.Sprintf("guarantees %d accelerators, which is more than the quota of %d", total, quota))
	}
}

func (c *checker) domain(path, value string) {
	if value == "" {
		return
	}
	for _, d := range c.domains() {
		if d == value {
			return
		}
	}
	c.report(path, value, "the fleet has no such failure domain")
}

// unique reports a name that stands at an earlier index too.
func (c *checker) unique(seen map[string]int, path, name string, i int) {
	if first, again := seen[name]; again {
		c.report(path, name, fmt.Sprintf("the name is already taken by entry %d of the list", first+1))
		return
	}
	seen[name] = i
}
