// Package soak runs real instances as separate processes against the stand-in of the
// platform. It injects faults, chosen by a seed, from outside the processes, and checks
// the promises to callers by comparing the answers that callers received with the runs
// that workers recorded.
//
// # Usage
//
//	report, err := soak.Run(soak.Options{Program: path, Seed: 7, Duration: 10 * time.Second, Dir: dir})
//	for _, violation := range report.Violations { ... }
//
// The faults are:
//   - instances that are killed, suspended and resumed, shut down and started again, or
//     sent a SIGHUP;
//   - connections to the store and to workers that are delayed, reset, silent in one or both
//     directions, or ended in an orderly way with new ones refused, one or many at once;
//   - a store that is down, is slow, drops answers to writes, applies writes late, compacts
//     its history, or reports no changes to watches;
//   - workers that drop the answers to start requests, answer them with the status of a proxy or
//     carry them out late, that restart, drain, end and are replaced, and whose entries in the
//     store are overwritten by another writer;
//   - failure domains that are to be evacuated;
//   - changes of the configuration, each of which adds a queue.
//
// The speeds of the workers differ. A leader takes that into account from eight workers on, with Options.Scale of 2.
//
// Four sequences of faults run beside each other, one of them with the faults of workers and their
// links, one with evacuations, and one with changes of the configuration. In each, faults start one after another and may overlap. After the last one, a gang that wants one rack
// waits while long tasks hold a part of each rack, and the leader is restarted once.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	instanceCount = 3
	// workerCount is the number of workers. Each has a rack of its own.
	workerCount = 4
	// workerAccels is the number of accelerators of a worker.
	workerAccels = 8
	// maxLease is the longest lease that a worker grants, unless Options.Lease replaces it.
	maxLease = 2 * time.Second
	// settleTimeout is the time after the last fault within which every accepted job has to end,
	// with leases of maxLease.
	settleTimeout = 25 * time.Second
	// callTimeout is the timeout of one call to an instance.
	callTimeout = 3 * time.Second
	// jobInterval is the time between two submitted jobs.
	jobInterval = 150 * time.Millisecond
)

// Options configures a soak run.
type Options struct {
	// Program is the path of the chestnutsail binary.
	Program string
	Seed    uint64
	// Duration is the time for which jobs are submitted and faults are injected.
	Duration time.Duration
	// Dir is the directory for the settings files and the logs.
	Dir string
	// Lease is the longest lease that a worker grants; 0 means 2 s.
	Lease time.Duration
	// Scale multiplies the numbers of instances, workers and jobs; 0 means 1.
	Scale int
	// Only is the name of the one kind of faults of workers and links to inject; "" means all.
	// The other sequence of faults stays as it is.
	Only string
}

// Report is the result of a soak run.
type Report struct {
	// Jobs and Accepted are the numbers of jobs that were submitted and accepted.
	Jobs, Accepted int
	// Faults lists the injected faults in the order of their start.
	Faults []string
	// RackHeld tells whether a gang that wants one rack was accepted while long tasks ran in each
	// rack, and the leader was restarted after that.
	RackHeld bool
	// Violations describes each broken promise.
	Violations []string
}

// job is one submitted job with the answers that its caller received. It is ambiguous if
// an attempt to submit it got no answer or an unexpected status.
type job struct {
	id         string
	queue      string
	body       platformtest.Job
	accepted   bool
	acceptedAt time.Time
	refusals   int
	ambiguous  bool
	// cancelSent is set before the job's caller asks to cancel it, and cancelledAt is when that was
	// answered; the zero time before.
	cancelSent  bool
	cancelledAt time.Time
	// told is the first final state that a caller was told, and toldAt the time of it.
	told   string
	toldAt time.Time
	state  string
	// endedAt is when a caller was first told that the job has ended; the zero time before.
	endedAt time.Time
}

// ended reports whether a caller was told that the job has ended.
func (j *job) ended() bool { return isFinal(j.state) }

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

type run struct {
	opts      Options
	random    *rand.Rand
	store     *platformtest.Store
	caller    *platformtest.Caller
	slots     []*slot
	proxies   []*proxy
	processes []*process
	// calmFrom is when the last fault ended, and observedUntil when the last state was asked for.
	calmFrom, observedUntil time.Time
	// evacuations are the requests that were made, resumedAt holds when suspended instances were resumed, and
	// watchesMute is set while the store's watches report no changes.
	evacuations []evacuation
	resumedAt   []time.Time
	watchesMute atomic.Bool
	// changes is the number of changes of the configuration. Each has added a queue.
	changes atomic.Int64

	mu sync.Mutex
	// changeAnswers are the answers to calls for queues that were added.
	changeAnswers []changeAnswer
	// ended holds the workers that have been replaced.
	ended  []*platformtest.Worker
	jobs   []*job
	report Report
	// setupErr is the first failure of the soak's own means.
	setupErr error
}

// Run executes one soak run with the seed in opts. The error is that of a failed setup;
// broken promises are in the report.
func Run(opts Options) (Report, error) {
	opts.Lease, opts.Scale = cmp.Or(opts.Lease, maxLease), cmp.Or(opts.Scale, 1)
	r := &run{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 0)), store: platformtest.NewStore(),
		caller: platformtest.NewCaller(callTimeout),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return r.report, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration)
	defer cancel()
	var submitter sync.WaitGroup
	submitter.Go(func() { r.submitJobs(ctx) })
	submitter.Go(func() { r.submitRackJobs(ctx) })
	submitter.Go(func() { r.askStates(ctx) })
	submitter.Go(func() { r.injectFaults(ctx, rand.New(rand.NewPCG(r.opts.Seed, 3)), r.opts.workerKinds()) })
	submitter.Go(func() { r.changeConfig(ctx, rand.New(rand.NewPCG(r.opts.Seed, 5))) })
	submitter.Go(func() { r.askChanges(ctx, rand.New(rand.NewPCG(r.opts.Seed, 6))) })
	submitter.Go(func() { r.evacuateDomains(ctx, rand.New(rand.NewPCG(r.opts.Seed, 4))) })
	r.injectFaults(ctx, r.random, faultKinds)
	submitter.Wait()
	r.clearFaults()
	if r.setupErr != nil {
		return r.report, r.setupErr
	}
	r.submitGangBesideLongTasks()
	r.awaitJobs()
	r.checkPromises()
	return r.report, nil
}

func (r *run) start() error {
	r.putConfig(0)
	for i := range workerCount * r.opts.Scale {
		p, err := newProxy("")
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, p)
		s := &slot{run: r, index: i, proxy: p}
		s.worker = s.newWorker(fmt.Sprintf("i-%d", i))
		r.slots = append(r.slots, s)
	}
	for i := range instanceCount * r.opts.Scale {
		// Each instance reaches the store through a proxy of its own.
		storeProxy, err := newProxy(r.store.Address())
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, storeProxy)
		p, err := newProcess(r.opts, i, storeProxy.address())
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for _, p := range r.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return r.processes[0].awaitReady(10 * time.Second)
}

func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
		p.releasePorts()
	}
	for _, p := range r.proxies {
		p.close()
	}
	for _, w := range r.allWorkers() {
		w.Close()
	}
	r.store.Close()
}

// submitJobs submits a job every jobInterval until ctx ends, and waits for the answers.
func (r *run) submitJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 1))
	var calls sync.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		j := r.newJob(number, []string{"urgent", "batch"}[random.IntN(2)], platformtest.Job{
			Spec: fmt.Sprintf("ms=%d fails=%d", 100+random.IntN(900), max(random.IntN(6)-4, 0)), Count: 1 + random.IntN(4),
		})
		cancels, firstInstance := random.IntN(8) == 0, random.IntN(len(r.processes))
		calls.Go(func() { r.submitJob(j, firstInstance, cancels) })
		time.Sleep(jobInterval / time.Duration(r.opts.Scale))
	}
	calls.Wait()
}

// jobID returns the ID of the job with a number.
func (r *run) jobID(number int) string { return fmt.Sprintf("%08x%08x", r.opts.Seed, number) }

// newJob adds a job to those that are submitted.
func (r *run) newJob(number int, queue string, body platformtest.Job) *job {
	j := &job{id: r.jobID(number), queue: queue, body: body}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
	return j
}

// maxSubmitAttempts is the number of times that a caller submits a job before it gives up.
// Each attempt goes to the next instance.
const maxSubmitAttempts = 4

// submitJob submits a job. A caller that cancels does so once the job is accepted, or may be accepted after
// an attempt without a certain answer.
func (r *run) submitJob(j *job, firstInstance int, cancels bool) {
	ctx := context.Background()
	for attempt := range maxSubmitAttempts {
		status := r.submitOnce(ctx, j, r.processes[(firstInstance+attempt)%len(r.processes)])
		if status == 200 || (cancels && j.ambiguous) {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if cancels && (j.accepted || j.ambiguous) {
		j.cancelSent = true
		r.cancelJob(j, firstInstance+1)
	}
}

// submitOnce submits a job to an instance and notes the answer.
func (r *run) submitOnce(ctx context.Context, j *job, p *process) (status int) {
	status = r.caller.Submit(ctx, p.callerAddress, j.queue, j.id, j.body)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case 200:
		j.accepted, j.acceptedAt = true, time.Now()
	case 503, 429:
		j.refusals++
	default:
		j.ambiguous = true
	}
	return status
}

// cancelJob asks one instance after another to cancel a job until one has answered that it is cancelled, or
// that there is no such job.
func (r *run) cancelJob(j *job, firstInstance int) {
	for attempt := range maxSubmitAttempts {
		address := r.processes[(firstInstance+attempt)%len(r.processes)].callerAddress
		if status := r.caller.Cancel(context.Background(), address, j.queue, j.id); status == 200 || status == 410 {
			r.mu.Lock()
			j.cancelledAt = time.Now()
			r.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// clearFaults removes all faults from the store and the connections, and resumes or
// restarts the instances.
func (r *run) clearFaults() {
	r.store.SetFaults(func(f *platformtest.Faults) { *f = platformtest.Faults{} })
	for _, p := range r.proxies {
		r.setMode(p, modeForward)
	}
	r.endEvacuations()
	for _, s := range r.slots {
		s.clearFaults()
	}
	for _, p := range r.processes {
		p.resume()
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range r.processes {
		if err := p.start(); err != nil {
			r.violationf("an instance could not be started: %v", err)
		}
	}
	r.calmFrom = time.Now()
}

// awaitJobs queries the states of the accepted jobs until all have ended or settleTimeout
// has passed.
func (r *run) awaitJobs() {
	for deadline := time.Now().Add(settleTimeout + r.longerLease()); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		unfinished := 0
		for _, j := range r.jobs {
			if !j.accepted || j.ended() {
				continue
			}
			j.state, _ = r.caller.State(context.Background(), r.processes[r.random.IntN(len(r.processes))].callerAddress, j.queue, j.id)
			r.observedUntil = time.Now()
			r.noteState(j, j.state)
			if j.ended() {
				j.endedAt = r.observedUntil
			}
			unfinished++
		}
		if unfinished == 0 {
			return
		}
	}
}

// longerLease returns the time by which leases are longer than maxLease.
func (r *run) longerLease() time.Duration { return r.opts.Lease - maxLease }

func (r *run) violationf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// logDir returns the directory for the settings files and logs of one seed.
func (o Options) logDir() string { return filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed)) }

func (o Options) makeLogDir() error { return os.MkdirAll(o.logDir(), 0o700) }
