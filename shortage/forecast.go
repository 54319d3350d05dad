package shortage

import "github.com/chestnutsail/chestnutsail/clock"

const (
	// binWidth is the resolution of a forecast in milliseconds. Run times are predicted less
	// exactly than that.
	binWidth = 100 * clock.Millisecond
	// bins is the length of a forecast in bins: 40 s. Later events are not forecast.
	bins = 400
)

// forecast predicts when work starts that is served in turn, from when room is released.
type forecast struct {
	// released is the room that is released in each bin. at is the bin in which the last work starts, and
	// free the room that is free then.
	released [bins]float64
	at       int
	free     float64
}

// release notes that room is released some time after the start of the bin from.
func (f *forecast) release(room float64, from int, after clock.Millis) {
	if bin := from + int(min(max(after, 0)/binWidth, bins)); bin < bins {
		f.released[bin] += room
	}
}

// start serves work next in turn. It returns the time in milliseconds from now at which the work starts. That is
// the end of the forecast if the work does not start before.
func (f *forecast) start(w *Work) clock.Millis {
	f.free -= w.Room
	for f.free < 0 && f.at < bins-1 {
		f.at++
		f.free += f.released[f.at]
	}
	f.release(w.Room, f.at, max(w.Duration, binWidth))
	return clock.Millis(f.at) * binWidth
}
