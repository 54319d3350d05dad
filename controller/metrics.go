package controller

// RetriesMetric returns the name of the metric that counts the calls retried for a reason.
func RetriesMetric(reason string) string {
	return `chestnutsail_retries_total{reason="` + reason + `"}`
}

// countRetry counts a call that is retried for a reason.
func (c *Controller) countRetry(reason string) { c.opts.Counters.Counter(RetriesMetric(reason)).Inc() }
