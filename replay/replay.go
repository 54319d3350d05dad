// Package replay records what a scheduler core was told and what it decided, and
// feeds such a trace to a fresh core to see that it decides the same.
//
// A trace is JSON lines, one Step a line. Its first step loads a whole state, so
// that a trace cut from the middle of a long run can be replayed as well.
//
// # Usage
//
//	rec := replay.New(scheduler.New(scheduler.Options{}), replay.Options{})
//	actions := rec.Step(now, event) // in place of core.Step
//	rec.WriteTo(w)                  // at any time, from any goroutine
//
//	steps, err := replay.Read(r)
//	err = replay.Replay(steps) // a *replay.Error names the first step that differs
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Step is one line of a trace.
type Step struct {
	Now     clock.Millis       `json:"now"`
	Event   scheduler.Event    `json:"event"`
	Actions []scheduler.Action `json:"actions,omitempty"`
}

// Error tells at which step a replay decided otherwise than the trace.
type Error struct {
	// Line is the number of the step, from 1.
	Line int
	Now  clock.Millis
	Kind scheduler.EventKind
	// Want and Got are the actions as JSON.
	Want, Got string
}

// Error formats the step and both lists of actions.
func (d *Error) Error() string {
	return fmt.Sprintf("replay: line %d: %s at %d: actions differ\n  trace:  %s\n  replay: %s", d.Line, d.Kind, d.Now, d.Want, d.Got)
}

// LineError tells which line of a trace cannot be read.
type LineError struct {
	// Line is the number of the line, from 1.
	Line int
	Err  error
}

// Error formats the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("replay: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

var errKind = errors.New("unknown event kind or a field is missing")

// Read reads a trace. It returns a *LineError for the first line that is no Step.
func Read(r io.Reader) ([]Step, error) {
	var steps []Step
	in := bufio.NewReader(r)
	for line := 1; ; line++ {
		raw, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(raw)) > 0 {
			var s Step
			if err := json.Unmarshal(raw, &s); err != nil {
				return steps, &LineError{Line: line, Err: err}
			}
			if !s.Event.Valid() {
				return steps, &LineError{Line: line, Err: errKind}
			}
			steps = append(steps, s)
		}
		if errors.Is(err, io.EOF) {
			return steps, nil
		}
		if err != nil {
			return steps, &LineError{Line: line, Err: err}
		}
	}
}

// Replay feeds the events of steps to a fresh core and returns a *Error for the
// first step whose actions differ from the trace byte for byte, or nil.
func Replay(steps []Step) error {
	core := scheduler.New(scheduler.Options{})
	for i, s := range steps {
		got := encode(core.Step(s.Now, s.Event))
		if want := encode(s.Actions); got != want {
			return &Error{Line: i + 1, Now: s.Now, Kind: s.Event.Kind, Want: want, Got: got}
		}
	}
	return nil
}

func encode(actions []scheduler.Action) string {
	if len(actions) == 0 {
		return "[]"
	}
	raw, err := json.Marshal(actions)
	if err != nil {
		panic(fmt.Sprintf("replay: actions cannot be encoded: %v", err))
	}
	return string(raw)
}
