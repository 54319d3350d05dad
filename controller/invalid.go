package controller

import (
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/kv"
)

// logInvalidEntry logs an entry that is no worker's, once for each change of the entry: the list is read
// again whenever the watch fails.
func (c *Controller) logInvalidEntry(e kv.Entry, err error) {
	if c.invalidEntries[e.Key] == e.Version {
		return
	}
	c.invalidEntries[e.Key] = e.Version
	c.opts.Log.WithError(err).WithFields(logrus.Fields{"version": e.Version, "bytes": len(e.Value)}).Warn("controller: worker entry is invalid; ignoring it")
}

// forgetInvalidEntries forgets the invalid entries that are not listed any more.
func (c *Controller) forgetInvalidEntries(listed map[string]bool) {
	maps.DeleteFunc(c.invalidEntries, func(key string, _ uint64) bool { return !listed[key[len(c.opts.Prefix):]] })
}
