package quick

// Names of the counters of the quick path. All of them are registered when the Router
// is created, so that they are exported as zero before the first event.
const (
	mismatchedAnswers = "chestnutsail_crossed_answers_total"
	lateAnswers       = "chestnutsail_late_answers_total"
	workerQuarantines = "chestnutsail_worker_quarantines_total"
	droppedRecords    = "chestnutsail_records_dropped_total"
	violatedClaims    = "chestnutsail_broken_claims_total"
	fencedClaims      = "chestnutsail_fenced_claims_total"
)

func (o Options) registerCounters() {
	for _, name := range []string{mismatchedAnswers, lateAnswers, workerQuarantines, droppedRecords, violatedClaims, fencedClaims} {
		o.Counters.Counter(name)
	}
}
