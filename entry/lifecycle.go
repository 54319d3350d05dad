package entry

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"
)

// The states of an entry and the events that change them.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateStopped  = "stopped"

	eventServe = "serve"
	eventLeave = "leave"
	eventStop  = "stop"
)

// lifecycle is the state machine of one entry. It only logs the state: no other behavior
// depends on it.
type lifecycle struct {
	machine *fsm.FSM
	log     *logrus.Entry
}

func newLifecycle(log *logrus.Entry) *lifecycle {
	events := fsm.Events{
		{Name: eventServe, Src: []string{stateStarting}, Dst: stateServing},
		{Name: eventLeave, Src: []string{stateStarting, stateServing}, Dst: stateLeaving},
		{Name: eventStop, Src: []string{stateStarting, stateServing, stateLeaving}, Dst: stateStopped},
	}
	callbacks := fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		log.WithField("state", e.Dst).Debug("entry: state changed")
	}}
	return &lifecycle{machine: fsm.NewFSM(stateStarting, events, callbacks), log: log}
}

// apply applies an event. An event that is not allowed in the current state has no effect
// and is logged at debug level.
func (l *lifecycle) apply(ctx context.Context, event string) {
	err := l.machine.Event(ctx, event)
	var invalid fsm.InvalidEventError
	if errors.As(err, &invalid) {
		l.log.WithError(err).Debug("entry: event is not allowed in the current state")
	}
}
