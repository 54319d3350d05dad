package queue

import "github.com/chestnutsail/chestnutsail/clock"

// Parts per thousand, in which ratios are kept so that they are the same on every
// processor.
const one = 1000

// Bounds of the corrected estimate.
const (
	maxRatio = 100 * one
	unknown  = 10 * clock.Minute
)

// History corrects declared run times by how long earlier jobs of the same
// account and service ran. The zero value is empty and ready to use.
type History struct {
	Services map[string]Service `json:"services,omitempty"`
}

// Service is what is known of the run times of one account's service.
type Service struct {
	// Mean is the moving mean of the run times in milliseconds.
	Mean clock.Millis `json:"mean"`
	// Ratio is the moving mean of run time / declared run time, in thousandths.
	Ratio int64 `json:"ratio"`
}

// Learn takes in the run time of a job that has finished.
func (h *History) Learn(account, service string, declared, ran clock.Millis) {
	if h.Services == nil {
		h.Services = make(map[string]Service)
	}
	key := account + "/" + service
	s, known := h.Services[key]
	if !known {
		s = Service{Mean: ran, Ratio: ratio(declared, ran)}
	} else {
		s.Mean += (ran - s.Mean) / 8
		s.Ratio += (ratio(declared, ran) - s.Ratio) / 8
	}
	h.Services[key] = s
}

// Expect returns the run time to expect of a job with the declared run time; 0
// means not declared.
func (h *History) Expect(account, service string, declared clock.Millis) clock.Millis {
	s, known := h.Services[account+"/"+service]
	switch {
	case !known && declared > 0:
		return declared
	case !known:
		return unknown
	case declared > 0:
		return declared * clock.Millis(s.Ratio) / one
	default:
		return s.Mean
	}
}

func ratio(declared, ran clock.Millis) int64 {
	if declared <= 0 {
		return one
	}
	return min(max(int64(ran*one/declared), 1), maxRatio)
}
