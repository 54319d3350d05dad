package check

import (
	"fmt"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

func (c *checker) checkAccounts() {
	seen := make(map[string]int)
	for i, a := range c.parsed.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.checkName(path+".name", a.Name)
		c.checkUnique(seen, path+".name", a.Name, i)
		c.checkRange(path+".weight", a.Weight, 0, maxWeight)
		c.checkRange(path+".quota.cores", a.Quota.Cores, 0, maxQuota)
		c.checkRange(path+".quota.memory", a.Quota.Memory, 0, maxQuota)
		c.checkRange(path+".quota.accels", a.Quota.Accelerators, 0, maxQuota)
		c.checkRange(path+".quota.slots", a.Quota.Slots, 0, maxQuota)
		c.checkGuarantees(path, a)
	}
}

// checkGuarantees checks the guarantees of one account, without regard to the fleet's
// capacity and other accounts.
func (c *checker) checkGuarantees(path string, a text.Account) {
	total := 0
	for i, g := range a.Guarantee {
		guaranteePath := fmt.Sprintf("%s.guarantee[%d]", path, i)
		c.checkRange(guaranteePath+".accels", g.Accels, 1, job.MaxAccelerators*job.MaxTasks)
		c.checkRange(guaranteePath+".count", g.Count, 1, maxCells)
		c.checkDomain(guaranteePath+".domain", g.Domain)
		if g.Accels > 0 && g.Count > 0 && g.Count <= maxCells {
			total += g.Accels * g.Count
		}
	}
	if quota := a.Quota.Accelerators; quota > 0 && total > quota {
		c.report(path+".guarantee", "", fmt.Sprintf("guarantees %d accelerators, which is more than the quota of %d", total, quota))
	}
}

func (c *checker) checkDomain(path, value string) {
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

// checkUnique reports a name that an earlier element of the list has. seen maps each name to
// its index.
func (c *checker) checkUnique(seen map[string]int, path, name string, i int) {
	if first, taken := seen[name]; taken {
		c.report(path, name, fmt.Sprintf("the name is already taken by entry %d of the list", first+1))
		return
	}
	seen[name] = i
}
