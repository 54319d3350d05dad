package outcome

// Reason says why a request was refused or why its outcome is unknown. The set is fixed:
// every value is in Reasons and has a counter.
type Reason string

// The reasons of a refusal or of an unknown outcome.
const (
	BadRequest      Reason = "bad_request"
	TooLarge        Reason = "too_large"
	Unauthorized    Reason = "unauthorized"
	UnknownAccount  Reason = "unknown_account"
	UnknownService  Reason = "unknown_service"
	KeyReused       Reason = "key_reused"
	ImpossibleShape Reason = "impossible_shape"
	// NoGuarantee means that the job can't be stopped once it runs, and that its shape fits
	// into no guarantee of its account.
	NoGuarantee      Reason = "no_guarantee"
	OverQuota        Reason = "over_quota"
	QueueFull        Reason = "queue_full"
	DeadlineExceeded Reason = "deadline_exceeded"
	NoWorker         Reason = "no_worker"
	WorkersBusy      Reason = "workers_busy"
	StoreUnreachable Reason = "store_unreachable"
	StoreOverBudget  Reason = "store_over_budget"
	Leaving          Reason = "leaving"
	NotReady         Reason = "not_ready"
	Canceled         Reason = "canceled"
	InProgress       Reason = "in_progress"
	AnswerLost       Reason = "answer_lost"
	ClaimUnclear     Reason = "claim_unclear"
	KeepsFailing     Reason = "keeps_failing"
	// UnknownKey means that no request is recorded under the key.
	UnknownKey Reason = "unknown_key"
	// Abandoned means that the entry which claimed the request did not send it to a worker,
	// for example because the entry was killed.
	Abandoned Reason = "abandoned"
	// WorkerReplaced means that the worker process which may have run the request no longer
	// exists.
	WorkerReplaced Reason = "worker_replaced"
	// WorkerStopped means that the request was stopped after it had started to run.
	WorkerStopped Reason = "worker_stopped"
)

// Reasons returns every Reason in a fixed order.
func Reasons() []Reason {
	return []Reason{
		BadRequest, TooLarge, Unauthorized, UnknownAccount, UnknownService, KeyReused,
		ImpossibleShape, NoGuarantee, OverQuota, QueueFull, DeadlineExceeded, NoWorker, WorkersBusy,
		StoreUnreachable, StoreOverBudget, Leaving, NotReady, Canceled, InProgress,
		AnswerLost, ClaimUnclear, KeepsFailing, UnknownKey, Abandoned, WorkerReplaced,
		WorkerStopped,
	}
}

// Retry says why a call was retried. The set is fixed: every value is in Retries and has
// a counter.
type Retry string

// The reasons of a retry.
const (
	RetryWorkerFull    Retry = "worker_full"
	RetryWorkerRefused Retry = "worker_refused"
	RetryWorkerLost    Retry = "worker_lost"
	RetryTaskFailed    Retry = "task_failed"
	RetryHedge         Retry = "hedge"
	RetryStoreConflict Retry = "store_conflict"
	RetryStoreDown     Retry = "store_down"
	RetryStoreUnclear  Retry = "store_unclear"
	RetryPeerLost      Retry = "peer_lost"
	RetryGangRefused   Retry = "gang_refused"
)

// Retries returns every Retry in a fixed order.
func Retries() []Retry {
	return []Retry{
		RetryWorkerFull, RetryWorkerRefused, RetryWorkerLost, RetryTaskFailed, RetryHedge, RetryStoreConflict,
		RetryStoreDown, RetryStoreUnclear, RetryPeerLost, RetryGangRefused,
	}
}
