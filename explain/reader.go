package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Line is one line of a log: its time of day and the fields that matter here.
type Line struct {
	At      clock.Millis `json:"-"`
	Message string       `json:"msg"`
	Time    string       `json:"time"`
	Job     string       `json:"job"`
	Task    string       `json:"task"`
	Worker  string       `json:"worker"`
	// How is the way in which a run ended, Reason why it was stopped or a call was refused.
	How       string         `json:"how"`
	Reason    string         `json:"reason"`
	State     workflow.State `json:"state"`
	Verb      string         `json:"verb"`
	Verdict   string         `json:"verdict"`
	Status    int            `json:"status"`
	Queue     string         `json:"queue"`
	Workers   workerIDs      `json:"workers"`
	Run       int            `json:"run"`
	Racks     int            `json:"racks"`
	SameRack  bool           `json:"same_rack"`
	Priority  int            `json:"priority"`
	Age       clock.Millis   `json:"age_ms"`
	Objective clock.Millis   `json:"objective_ms"`
	LostWork  int64          `json:"lost_core_s"`
	Reserved  int            `json:"reserved"`
	Headroom  int            `json:"headroom"`
	Avoided   int            `json:"avoided"`
	Unsound   int            `json:"unsound"`
	Slow      int            `json:"slow"`
	Free      int            `json:"free"`
}

// workerIDs is a list of workers. Some lines have a number of workers under the same name, which is
// ignored.
type workerIDs []string

func (w *workerIDs) UnmarshalJSON(raw []byte) error {
	if len(raw) == 0 || raw[0] != '[' {
		return nil
	}
	return json.Unmarshal(raw, (*[]string)(w))
}

// LineError is the error of a line that can't be read.
type LineError struct {
	Source string
	Number int
	Err    error
}

func (e *LineError) Error() string {
	return fmt.Sprintf("explain: %s:%d: %v", e.Source, e.Number, e.Err)
}

func (e *LineError) Unwrap() error { return e.Err }

// ErrNoLines means that a log has no line of chestnutsail.
var ErrNoLines = errors.New("no line of chestnutsail")

const (
	timeLayout = "15:04:05.000"
	// maxLine is the largest line in bytes.
	maxLine = 1 << 20
	// maxBackwards is the largest difference by which the logs of instances may be out of order.
	// A larger one means that a day has passed.
	maxBackwards = 12 * clock.Hour
)

// Reader collects the lines of several logs. It is not safe for concurrent use.
type Reader struct{ lines []Line }

// NewReader returns a reader without lines.
func NewReader() *Reader { return &Reader{} }

// Read adds the lines of a log; source is its name in errors. Text before the first brace of a line
// is ignored, and so are lines without one. The error joins a *LineError for each line that can't be
// read, such as the last one of a process that was killed; the other lines are added all the same.
func (r *Reader) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, maxLine/16), maxLine)
	before := len(r.lines)
	number := 0
	var errs []error
	for scanner.Scan() {
		number++
		start := strings.Index(scanner.Text(), `{"`)
		if start < 0 {
			continue
		}
		line, err := parse(scanner.Text()[start:])
		if err != nil {
			errs = append(errs, &LineError{source, number, err})
			continue
		}
		if line.Message != "" {
			r.lines = append(r.lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		errs = append(errs, &LineError{source, number + 1, err})
	}
	if len(r.lines) == before {
		errs = append(errs, &LineError{source, number, ErrNoLines})
	}
	return errors.Join(errs...)
}

func parse(text string) (Line, error) {
	var line Line
	if err := json.Unmarshal([]byte(text), &line); err != nil {
		return line, err
	}
	at, err := time.Parse(timeLayout, line.Time)
	if err != nil {
		return line, err
	}
	line.At = clock.Millis(at.Sub(at.Truncate(24 * time.Hour)).Milliseconds())
	return line, nil
}

// Lines returns all lines in the order of their times.
func (r *Reader) Lines() []Line {
	lines := slices.Clone(r.lines)
	if len(lines) > 0 {
		first := lines[0].At
		for i := range lines {
			if first-lines[i].At > maxBackwards {
				lines[i].At += 24 * clock.Hour
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	return lines
}
