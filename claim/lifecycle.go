package claim

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"

	"github.com/chestnutsail/chestnutsail/outcome"
)

// Place is the worker process that one attempt of a request is sent to.
type Place struct {
	Worker      string
	Address     string
	Incarnation string
}

// States of a claim and the events that change them.
const (
	stateTaken     = "taken"
	stateEnded     = "ended"
	stateUnknown   = "unknown"
	stateTombstone = "tombstone"

	eventMove       = "move"
	eventEnd        = "end"
	eventEndUnknown = "lose"
	eventEndNotRun  = "bury"
	eventRetake     = "retake"
	eventConfirm    = "confirm"
)

var transitions = fsm.Events{
	{Name: eventMove, Src: []string{stateTaken}, Dst: stateTaken},
	{Name: eventEnd, Src: []string{stateTaken, stateUnknown}, Dst: stateEnded},
	{Name: eventEndUnknown, Src: []string{stateTaken}, Dst: stateUnknown},
	{Name: eventEndNotRun, Src: []string{stateTaken}, Dst: stateTombstone},
	{Name: eventRetake, Src: []string{stateTombstone}, Dst: stateTaken},
	{Name: eventConfirm, Src: []string{stateTombstone}, Dst: stateTombstone},
}

// Move assigns the request to another worker as its next attempt. The caller must be
// certain that the previous attempt did not run and can no longer start. Like every
// change, Move fails with an error of kind kv.Conflict if another caller changed the
// claim first. It then returns the current claim, with Version 0 if the claim could not
// be read. Move panics if the claim has an outcome.
func (r *Registry) Move(ctx context.Context, c Claim, to Place) (Claim, error) {
	c.mustAllow(eventMove)
	return r.write(ctx, c.withNextAttempt(to))
}

// Retake claims a request whose claim is a tombstone anew, as its next attempt. It panics
// if the claim is not a tombstone.
func (r *Registry) Retake(ctx context.Context, c Claim, to Place) (Claim, error) {
	c.mustAllow(eventRetake)
	c.Outcome = nil
	c.TakenAt = r.opts.Clock.Now()
	return r.write(ctx, c.withNextAttempt(to))
}

// Confirm writes a tombstone anew, which shows that it is still the current claim. A read
// alone does not show that, as it may be stale. Confirm fails with an error of kind
// kv.Conflict and returns the current claim if the request was claimed again since, with
// Version 0 if the claim could not be read. It panics if the claim is not a tombstone.
func (r *Registry) Confirm(ctx context.Context, c Claim) (Claim, error) {
	c.mustAllow(eventConfirm)
	return r.write(ctx, c)
}

// End records the outcome of a request. An outcome of kind notrun makes the claim a
// tombstone. It panics if the state of the claim does not allow this outcome.
func (r *Registry) End(ctx context.Context, c Claim, o outcome.Outcome) (Claim, error) {
	switch o.Kind {
	case outcome.NotRun:
		c.mustAllow(eventEndNotRun)
	case outcome.Unknown:
		c.mustAllow(eventEndUnknown)
	default:
		c.mustAllow(eventEnd)
	}
	c.Outcome = &o
	return r.write(ctx, c)
}

func (c Claim) withNextAttempt(to Place) Claim {
	c.Worker, c.Address, c.Incarnation = to.Worker, to.Address, to.Incarnation
	c.Attempt++
	return c
}

func (c Claim) state() string {
	switch {
	case c.Outcome == nil:
		return stateTaken
	case c.Outcome.Kind == outcome.NotRun:
		return stateTombstone
	case c.Outcome.Kind == outcome.Unknown:
		return stateUnknown
	default:
		return stateEnded
	}
}

// mustAllow panics if the state of the claim does not allow the event.
func (c Claim) mustAllow(event string) {
	if !fsm.NewFSM(c.state(), transitions, nil).Can(event) {
		panic(fmt.Sprintf("claim: event %s is not allowed for %s/%s in state %s", event, c.Account, c.Key, c.state()))
	}
}
