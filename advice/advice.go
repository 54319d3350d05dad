// Package advice has a text for each reason of a refusal, an unknown outcome or a retry,
// which tells the caller or the operator what to do.
//
// # Usage
//
//	fmt.Println(advice.For(o.Reason))
//	fmt.Println(advice.Retried(outcome.RetryStoreDown))
package advice

import "github.com/chestnutsail/chestnutsail/outcome"

var byReason = map[outcome.Reason]string{
	outcome.BadRequest:       "correct the request as the detail says and submit it again",
	outcome.TooLarge:         "send a smaller payload, or a reference to where it is kept",
	outcome.Unauthorized:     "make a token for this role and account with 'chestnutsail token'",
	outcome.UnknownAccount:   "ask an operator to add the account to the text",
	outcome.UnknownService:   "use a service that the text lists for this account",
	outcome.KeyReused:        "use a new key for a new request",
	outcome.ImpossibleShape:  "ask for a shape that some set of workers can hold",
	outcome.NoGuarantee:      "let the service checkpoint or be idempotent, or give the account a guarantee that holds the shape",
	outcome.OverQuota:        "ask for less, or ask an operator for a higher quota",
	outcome.QueueFull:        "submit it again after the time given",
	outcome.DeadlineExceeded: "submit it again with a longer deadline",
	outcome.NoWorker:         "submit it again after the time given; an operator sees the workers in 'chestnutsail status'",
	outcome.WorkersBusy:      "submit it again after the time given",
	outcome.StoreUnreachable: "submit it again once the platform's store answers",
	outcome.StoreOverBudget:  "submit it again after the time given",
	outcome.Leaving:          "submit it again; the balancer sends it to another entry",
	outcome.NotReady:         "submit it again once the entry is ready, or to another entry",
	outcome.Canceled:         "nothing; it was canceled and will not run under this key",
	outcome.InProgress:       "ask by key with 'chestnutsail wait'",
	outcome.AnswerLost:       "ask by key with 'chestnutsail wait'; it is not run again, so check its effect before using a new key",
	outcome.ClaimUnclear:     "submit it again with the same key; it runs at most once",
	outcome.KeepsFailing:     "look at the job's own error; it failed on several workers",
	outcome.UnknownKey:       "check the key and the account; if it was never submitted, submit it",
	outcome.Abandoned:        "submit it again with a new key; it did not run",
	outcome.WorkerReplaced:   "check its effect before using a new key; it is not run again",
	outcome.WorkerStopped:    "check its effect before using a new key; it is not run again",
}

// For returns the advice for a reason, or "" for an empty or unknown reason.
func For(r outcome.Reason) string { return byReason[r] }

var byRetry = map[outcome.Retry]string{
	outcome.RetryWorkerFull:    "a worker had no free slot and another was tried; if it grows, add workers or slots",
	outcome.RetryWorkerRefused: "a worker is leaving or fenced the call, and another was tried; expected while workers drain",
	outcome.RetryWorkerLost:    "a worker did not answer and another was tried; look for workers in quarantine",
	outcome.RetryTaskFailed:    "an idempotent request failed on one worker and another was tried; look for workers in quarantine",
	outcome.RetryHedge:         "an idempotent request was sent to a second worker; if it grows, look for slow workers",
	outcome.RetryStoreConflict: "another entry wrote the key first; expected after a change of the scheduler",
	outcome.RetryStoreDown:     "the store refused a call; look at the store",
	outcome.RetryStoreUnclear:  "the store's answer was lost and the key was read back; look at the store and its network",
	outcome.RetryPeerLost:      "another entry did not answer; look for a cut between failure domains",
	outcome.RetryGangRefused:   "a worker refused its part of a gang and the gang is placed again; expected while workers drain",
}

// Retried returns what a retry of this reason means and what to do about it, or "" for an
// unknown reason.
func Retried(r outcome.Retry) string { return byRetry[r] }
