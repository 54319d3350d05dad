// Package replay records the events and the actions of a scheduler core, and replays
// such a trace with a fresh core to verify that it decides on the same actions.
//
// A trace consists of JSON lines, one Step per line. Its first step loads a complete
// state of the core, so that a trace can start in the middle of a long run.
//
// # Usage
//
//	rec := replay.New(scheduler.New(scheduler.Options{}), replay.Options{})
//	actions := rec.Step(now, event) // in place of core.Step
//	rec.WriteTo(w)                  // at any time, from any goroutine
//
//	steps, err := replay.Read(r)
//	err = replay.Replay(steps) // a *replay.Error describes the first step that differs
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

// Step is one line of a trace: an event, its time, and the actions that the core
// returned for it.
type Step struct {
	Now     clock.Millis       `json:"now"`
	Event   scheduler.Event    `json:"event"`
	Actions []scheduler.Action `json:"actions,omitempty"`
}

// Error describes the first step at which a replay returned other actions than the trace.
type Error struct {
	// Line is the number of the step, from 1.
	Line int
	Now  clock.Millis
	Kind scheduler.EventKind
	// Recorded and Replayed are the actions of the trace and of the replay, as JSON.
	Recorded, Replayed string
}

// Error returns the step and both lists of actions.
func (e *Error) Error() string {
	return fmt.Sprintf("replay: line %d: %s at %d: actions differ\n  trace:  %s\n  replay: %s", e.Line, e.Kind, e.Now, e.Recorded, e.Replayed)
}

// LineError describes the line of a trace that cannot be read.
type LineError struct {
	// Line is the number of the line, from 1.
	Line int
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("replay: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

var errInvalidEvent = errors.New("unknown event kind or a field is missing")

// Read reads a trace and skips empty lines. It returns the steps that it has read, and
// a *LineError for the first line that cannot be read as a Step.
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
				return steps, &LineError{Line: line, Err: errInvalidEvent}
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

// Replay passes the events of steps to a fresh core. It returns an *Error for the first
// step whose actions, encoded as JSON, are not identical to those in the trace.
func Replay(steps []Step) error {
	core := scheduler.New(scheduler.Options{})
	for i, s := range steps {
		replayed := encodeActions(core.Step(s.Now, s.Event))
		if recorded := encodeActions(s.Actions); replayed != recorded {
			return &Error{Line: i + 1, Now: s.Now, Kind: s.Event.Kind, Recorded: recorded, Replayed: replayed}
		}
	}
	return nil
}

func encodeActions(actions []scheduler.Action) string {
	if len(actions) == 0 {
		return "[]"
	}
	raw, err := json.Marshal(actions)
	if err != nil {
		panic(fmt.Sprintf("replay: actions cannot be encoded: %v", err))
	}
	return string(raw)
}
