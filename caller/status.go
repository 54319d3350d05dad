package caller

import (
	"net/http"
	"strconv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
)

var statusByReason = map[outcome.Reason]int{
	outcome.BadRequest:      http.StatusBadRequest,
	outcome.TooLarge:        http.StatusRequestEntityTooLarge,
	outcome.Unauthorized:    http.StatusUnauthorized,
	outcome.UnknownAccount:  http.StatusForbidden,
	outcome.UnknownService:  http.StatusNotFound,
	outcome.KeyReused:       http.StatusConflict,
	outcome.ImpossibleShape: http.StatusUnprocessableEntity,
	outcome.NoGuarantee:     http.StatusUnprocessableEntity,
	outcome.OverQuota:       http.StatusUnprocessableEntity,
	outcome.QueueFull:       http.StatusTooManyRequests,
	outcome.WorkersBusy:     http.StatusTooManyRequests,
}

// Status returns the HTTP status code of the response that carries an outcome.
func Status(o outcome.Outcome) int {
	switch o.Kind {
	case outcome.Done, outcome.Failed:
		return http.StatusOK
	case outcome.Accepted:
		return http.StatusAccepted
	case outcome.Unknown:
		if o.Reason == outcome.UnknownKey {
			return http.StatusNotFound
		}
		return http.StatusGatewayTimeout
	}
	if status, ok := statusByReason[o.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds formats a wait for the Retry-After header: in whole seconds, rounded up.
func retryAfterSeconds(wait clock.Millis) string {
	return strconv.FormatInt(int64((wait+clock.Second-1)/clock.Second), 10)
}

func millis(v int64) clock.Millis { return clock.Millis(v) }
