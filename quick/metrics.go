package quick

// Names of the counters of the quick path, all of which are there from the start.
const (
	crossedAnswers = "chestnutsail_crossed_answers_total"
	lateAnswers    = "chestnutsail_late_answers_total"
	quarantines    = "chestnutsail_worker_quarantines_total"
	recordsDropped = "chestnutsail_records_dropped_total"
	brokenClaims   = "chestnutsail_broken_claims_total"
	fencedClaims   = "chestnutsail_fenced_claims_total"
)

func (o Options) showCounters() {
	for _, name := range []string{crossedAnswers, lateAnswers, quarantines, recordsDropped, brokenClaims, fencedClaims} {
		o.Counters.Counter(name)
	}
}
