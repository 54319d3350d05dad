package queue

import "github.com/chestnutsail/chestnutsail/clock"

// Parts per thousand, in which ratios are kept so that they are the same on every
// processor.
const fullRatio = 1000

// Bounds of the corrected estimate.
const (
	maxRatio       = 100 * fullRatio
	unknownRunTime = 10 * clock.Minute
)

// History corrects declared run times by how long earlier jobs of the same
// account and service ran. The zero value is empty and ready to use.
type History struct {
	Services map[string]ServiceHistory `json:"services,omitempty"`
}

// ServiceHistory is what is known of the run times of one account's service.
type ServiceHistory struct {
	// MeanRunTime is the moving mean of the run times in milliseconds.
	MeanRunTime clock.Millis `json:"mean"`
	// Ratio is the moving mean of run time / declared run time, in thousandths.
	Ratio int64 `json:"ratio"`
}

// Observe takes in the run time of a job that has finished.
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
// means not declared.
func (h *History) ExpectedRunTime(account, service string, declared clock.Millis) clock.Millis {
	s, known := h.Services[account+"/"+service]
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
