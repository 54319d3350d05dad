package caller

import (
	"net/http"
	"strconv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
)

var refusalStatus = map[outcome.Reason]int{
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

// Status returns the HTTP status under which an outcome is sent.
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
	if status, ok := refusalStatus[o.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// retryAfter returns a wait in the whole seconds of the Retry-After header, rounded up.
func retryAfter(wait clock.Millis) string {
	return strconv.FormatInt(int64((wait+clock.Second-1)/clock.Second), 10)
}

func millis(v int64) clock.Millis { return clock.Millis(v) }
