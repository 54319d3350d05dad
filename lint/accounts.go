package lint

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/site"
)

func (c *checker) checkAccounts() {
	names := make(map[string]bool)
	owners := make(map[string]string)
	for i, a := range c.cfg.Accounts {
		at := place("account", a.Name, i)
		switch {
		case a.Name == "":
			c.failf(at, "the account has no name")
		case names[a.Name]:
			c.failf(at, "another account has the same name")
		}
		names[a.Name] = true
		c.checkKeys(at, a, owners)
		if a.Guaranteed < 0 {
			c.failf(at, "the guarantee is %d accelerators, a negative number", a.Guaranteed)
		}
		if a.Guaranteed > 0 && !hasKey(a) {
			c.warnf(at, "%d accelerators are guaranteed, but without a key the account can submit no job", a.Guaranteed)
		}
	}
}

// checkKeys checks the keys of one account. Owners holds the places of the keys seen before.
func (c *checker) checkKeys(at string, a site.Account, owners map[string]string) {
	for _, key := range a.Keys {
		owner, taken := owners[key]
		switch {
		case key == "":
			c.failf(at, "an empty key, which no call can carry")
		case taken && owner == at:
			c.failf(at, "the key with fingerprint %s is listed twice", fingerprint(key))
		case taken:
			c.failf(at, "the key with fingerprint %s belongs to %s already; calls with it count as calls of that account", fingerprint(key), owner)
		default:
			owners[key] = at
		}
	}
}

func (c *checker) checkGuarantees() {
	sum := 0
	for _, a := range c.cfg.Accounts {
		sum += max(a.Guaranteed, 0)
	}
	if c.opts.Accels > 0 && sum > c.opts.Accels {
		c.failf("accounts", "%d accelerators are guaranteed in all, more than the %d that there are", sum, c.opts.Accels)
	}
	isUrgent := func(q site.Queue) bool { return q.Priority == urgentPriority }
	if sum > 0 && !slices.ContainsFunc(c.cfg.Queues, isUrgent) {
		c.warnf("accounts", "%d accelerators are guaranteed, but guarantees count for jobs of priority 0 only, and no queue has it", sum)
	}
}

func (c *checker) anyKey() bool { return slices.ContainsFunc(c.cfg.Accounts, hasKey) }

func hasKey(a site.Account) bool {
	return slices.ContainsFunc(a.Keys, func(key string) bool { return key != "" })
}
