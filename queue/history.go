package queue

import "github.com/chestnutsail/chestnutsail/clock"

// fullRatio is the ratio 1 in thousandths. Ratios are integers so that they are the
// same on every processor.
const fullRatio = 1000

// maxRatio bounds the ratio of run time to declared run time. unknownRunTime is the
// expected run time of a job that declares none and whose service has no history.
const (
	maxRatio       = 100 * fullRatio
	unknownRunTime = 10 * clock.Minute
)

// History predicts run times: it corrects the declared run time of a job by how long
// earlier jobs of the same account and service ran. The zero value is empty and ready
// to use.
type History struct {
	Services map[string]ServiceHistory `json:"services,omitempty"`
}

// ServiceHistory is what is known about the run times of one service of an account.
type ServiceHistory struct {
	// MeanRunTime is the moving average of the run times in milliseconds.
	MeanRunTime clock.Millis `json:"mean"`
	// Ratio is the moving average of run time divided by declared run time, in
	// thousandths.
	Ratio int64 `json:"ratio"`
}

// Observe adds the run time of a job that has finished. declared is the declared run
// time, or 0 if there is none.
func (h *History) Observe(account, service string, declared, runTime clock.Millis) {
	if h.Services == nil {
		h.Services = make(map[string]ServiceHistory)
	}
	key := account + "/" + service
	s, known := h.Services[key]
	if !known {
		s = ServiceHistory{MeanRunTime: runTime, Ratio: runTimeRatio(declared, runTime)}
	} else {
		s.MeanRunTime += (runTime - s.MeanRunTime) / 8
		s.Ratio += (runTimeRatio(declared, runTime) - s.Ratio) / 8
	}
	h.Services[key] = s
}

// ExpectedRunTime returns the run time to expect of a job with the declared run time; 0
// means that none is declared. A declared run time counts as clock.Longest at most.
func (h *History) ExpectedRunTime(account, service string, declared clock.Millis) clock.Millis {
	s, known := h.Services[account+"/"+service]
	declared = min(declared, clock.Longest)
	switch {
	case !known && declared > 0:
		return declared
	case !known:
		return unknownRunTime
	case declared > 0:
		return declared * clock.Millis(s.Ratio) / fullRatio
	default:
		return s.MeanRunTime
	}
}

func runTimeRatio(declared, runTime clock.Millis) int64 {
	if declared <= 0 {
		return fullRatio
	}
	return min(max(int64(runTime*fullRatio/declared), 1), maxRatio)
}
