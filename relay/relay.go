// Package relay hands the calls of callers that this instance can't carry out to other instances.
// An instance that has lost the store can't accept jobs, but another one often can: the store may
// turn away some instances only, or a part of the network may have failed.
//
// Calls are handed on together with the version of the configuration that the sender knows, and an
// instance carries them out by that version only. One that knows a newer configuration refuses the call and
// names its version. The sender then adopts that configuration and hands the call on again. So no call
// takes effect by a configuration that its sender doesn't know, also if the answer is lost, and an instance
// never answers by an older configuration than a call through it has taken effect by. It also learns of new
// configurations that way while the store is away.
//
// A call is handed on to at most maxTries instances, to each of them again only after its configuration was
// adopted. An instance that does not answer or can't carry out calls either is skipped for a while, so that a
// call is refused at once while no instance can carry it out.
//
// # Usage
//
//	http.Serve(listener, relay.NewHandler(relay.HandlerOptions{Calls: callersBy, Config: config, OnRefused: count, Log: log}))
//	r := relay.New(relay.Options{Peers: roster.Peers, Client: client, Version: version, InForce: inForce, Adopt: adopt, OnRetry: count, Log: log})
//	answer := r.Send(ctx, relay.Call{Method: "POST", Path: "/wipe/5c0e7a21d94b36f8", Host: "h", Header: header, Body: body})
//	switch answer.Outcome {
//	case relay.Answered: // pass answer.Status, answer.RetryAfter and answer.Body on
//	case relay.NotRun:   // no instance has carried it out
//	case relay.Unsure:   // an instance may have carried it out
//	}
package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxTries is the largest number of instances that are asked for one call.
	maxTries = 3
	// maxAdoptions is how often the configuration of one instance is adopted for one call.
	maxAdoptions = 2
	// tryTimeout is the timeout of one of them. A slow store takes a quarter of a second for a
	// write; connections that have gone silent must not hold the caller up for long.
	tryTimeout = 400 * clock.Millisecond
	// silentRest and busyRest are how long an instance is not asked after it gave no answer and
	// after it could not carry out a call.
	silentRest = 2 * clock.Second
	busyRest   = 300 * clock.Millisecond
	// maxBody is the largest answer in bytes that is passed on.
	maxBody = 64 << 10
)

// Outcome says what became of a call.
type Outcome string

// The outcomes of a call.
const (
	// Answered means that an instance has carried the call out and answered it.
	Answered Outcome = "answered"
	// NotRun means that no instance has carried the call out or will do so.
	NotRun Outcome = "notrun"
	// Unsure means that an instance may have carried the call out.
	Unsure Outcome = "unsure"
)

// Call is a call of a caller. Handing the same call on twice must have the same effect as once.
type Call struct {
	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Open is set if the call may have been carried out already, without an answer. Only an
	// instance that carries it out can then tell what became of it.
	Open bool
}

// Answer is the outcome of a call. The other fields are set if it was answered.
type Answer struct {
	Outcome Outcome
	Peer    string
	// Config is the version of the configuration that the instance knows.
	Config     int64
	Status     int
	RetryAfter string
	Body       []byte
}

func (a *Answer) succeeded() bool { return a.Status >= 200 && a.Status < 300 }

// Options configures a Relay. All but Clock are required.
type Options struct {
	// Peers returns the addresses of the other instances.
	Peers func() []string
	// Version returns the newest version of the configuration of which this instance knows, and InForce that
	// of the configuration in force here.
	Version func() int64
	InForce func() int64
	// Adopt is called with the newer configuration of an instance that was asked, or with nil if it
	// could not be read, and with its version.
	Adopt func(version int64, raw []byte)
	// OnRetry is called for each call that is handed to an instance again after its configuration was adopted.
	OnRetry func()
	// Client makes the calls. Its time to open a connection should be short, since a caller
	// waits meanwhile.
	Client *http.Client
	Clock  *clock.Clock
	Log    *logrus.Entry
}

// Relay hands calls on. It is safe for concurrent use.
type Relay struct {
	opts Options

	mu sync.Mutex
	// restUntil holds, by address, until when an instance is not asked.
	restUntil map[string]clock.Millis
}

// New returns a relay.
func New(opts Options) *Relay {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	return &Relay{opts: opts, restUntil: make(map[string]clock.Millis)}
}

// Send hands a call to other instances, one after the other and each at most once, until one has
// carried it out.
func (r *Relay) Send(ctx context.Context, c Call) Answer {
	open := c.Open
	asked := make(map[string]bool)
	for range maxTries {
		peer, ok := r.choose(asked)
		if !ok || ctx.Err() != nil {
			break
		}
		asked[peer] = true
		answer := r.try(ctx, peer, c)
		if answer.Outcome == Answered && (!open || answer.succeeded()) {
			return answer
		}
		// Once the call may have been carried out, a refusal by another instance, which may know
		// another configuration, is not the last word. A success is, as the call has its effect
		// once.
		open = open || answer.Outcome == Unsure
	}
	if open {
		return Answer{Outcome: Unsure}
	}
	return Answer{Outcome: NotRun}
}

// choose returns a random instance that is neither resting nor among those asked, and false if
// there is none. It forgets instances that are gone.
func (r *Relay) choose(asked map[string]bool) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	var awake []string
	known := make(map[string]clock.Millis)
	for _, peer := range r.opts.Peers() {
		known[peer] = r.restUntil[peer]
		if now >= r.restUntil[peer] && !asked[peer] {
			awake = append(awake, peer)
		}
	}
	r.restUntil = known
	if len(awake) == 0 {
		return "", false
	}
	return awake[rand.IntN(len(awake))], true
}

func (r *Relay) rest(peer string, duration clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restUntil[peer] = r.opts.Clock.Now() + duration
}

// try hands a call to one instance, and again if it was refused and that instance knows a newer
// configuration.
func (r *Relay) try(ctx context.Context, peer string, c Call) Answer {
	for range maxAdoptions {
		answer, adopted := r.tryOnce(ctx, peer, c)
		if !adopted || answer.Outcome != NotRun {
			return answer
		}
		r.opts.OnRetry()
	}
	answer, _ := r.tryOnce(ctx, peer, c)
	return answer
}

// tryOnce hands a call to one instance once. It reports whether the instance's configuration was adopted.
func (r *Relay) tryOnce(ctx context.Context, peer string, c Call) (answer Answer, adopted bool) {
	tryCtx, cancel := context.WithTimeout(ctx, tryTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(tryCtx, c.Method, "http://"+peer+callsPath+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		r.opts.Log.WithError(err).WithField("path", c.Path).Error("relay: the call can't be handed on")
		return Answer{Outcome: NotRun}, false
	}
	req.Host = c.Host
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	req.Header.Set(versionHeader, strconv.FormatInt(r.opts.Version(), 10))
	resp, err := r.opts.Client.Do(req)
	if err != nil {
		return r.failed(peer, err), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return r.failed(peer, err), false
	}
	adopted = r.adoptNewer(ctx, peer, resp.Header)
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		// This is about the call's account. The instance may carry out the calls of others.
		return Answer{Outcome: NotRun}, adopted
	case http.StatusServiceUnavailable:
		if !adopted {
			r.rest(peer, busyRest)
		}
		return Answer{Outcome: NotRun}, adopted
	case http.StatusGatewayTimeout:
		r.rest(peer, busyRest)
		return Answer{Outcome: Unsure}, adopted
	}
	return Answer{
		Outcome: Answered, Peer: peer, Config: versionOf(resp.Header), Status: resp.StatusCode,
		RetryAfter: resp.Header.Get("Retry-After"), Body: body,
	}, adopted
}

// failed handles a call that got no whole answer. Only a connection that could not be opened shows
// that the call was not delivered.
func (r *Relay) failed(peer string, err error) Answer {
	r.rest(peer, silentRest)
	r.opts.Log.WithError(err).WithField("peer", peer).Info("relay: instance did not answer")
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return Answer{Outcome: NotRun}
	}
	return Answer{Outcome: Unsure}
}
