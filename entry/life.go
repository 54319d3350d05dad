package entry

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"
)

// The states of an entry and the events that lead from one to the next.
const (
	starting = "starting"
	serving  = "serving"
	leaving  = "leaving"
	stopped  = "stopped"

	serve = "serve"
	leave = "leave"
	stop  = "stop"
)

// life is the state machine of one entry.
type life struct {
	machine *fsm.FSM
	log     *logrus.Entry
}

func newLife(log *logrus.Entry) *life {
	events := fsm.Events{
		{Name: serve, Src: []string{starting}, Dst: serving},
		{Name: leave, Src: []string{starting, serving}, Dst: leaving},
		{Name: stop, Src: []string{starting, serving, leaving}, Dst: stopped},
	}
	callbacks := fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		log.WithField("state", e.Dst).Debug("entry: state changed")
	}}
	return &life{machine: fsm.NewFSM(starting, events, callbacks), log: log}
}

// move applies an event. An event that does not fit the state is logged and has no effect.
func (l *life) move(ctx context.Context, event string) {
	err := l.machine.Event(ctx, event)
	var misplaced fsm.InvalidEventError
	if errors.As(err, &misplaced) {
		l.log.WithError(err).Debug("entry: event has no effect")
	}
}
