package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// storeDoor stands before the store's stand-in. It answers as the store does, and can lose answers to
// writes: such a write is carried out later, and its connection returns nothing further.
type storeDoor struct {
	store  *platformtest.Store
	server *httptest.Server
	client http.Client

	mu       sync.Mutex
	random   *rand.Rand
	losing   bool
	share    float64
	minDelay time.Duration
	maxDelay time.Duration
	writes   int
	lost     int
	// down makes every call be answered with 503.
	down bool
}

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

func newStoreDoor(store *platformtest.Store, seed uint64) *storeDoor {
	d := &storeDoor{store: store, random: rand.New(rand.NewPCG(seed, 0))}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

func (d *storeDoor) address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// loseAnswers makes the store lose the answers to a share of the writes and carry these out after a time
// between the two delays.
func (d *storeDoor) loseAnswers(share float64, minDelay, maxDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.losing, d.share, d.minDelay, d.maxDelay = true, share, minDelay, maxDelay
}

func (d *storeDoor) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.losing = false
}

func (d *storeDoor) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// counts returns the numbers of writes and of lost answers while answers were being lost.
func (d *storeDoor) counts() (writes, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes, d.lost
}

func (d *storeDoor) draw() (delay time.Duration, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.losing {
		return 0, false
	}
	d.writes++
	// The share is a limit: by chance, no more may be lost at any time.
	if d.random.Float64() >= d.share || float64(d.lost+1) > d.share*float64(d.writes) {
		return 0, false
	}
	d.lost++
	return d.minDelay + time.Duration(d.random.Float64()*float64(d.maxDelay-d.minDelay)), true
}

func (d *storeDoor) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeLatency)
	if strings.HasSuffix(r.URL.Path, "/kv-txn") {
		if delay, lost := d.draw(); lost {
			time.AfterFunc(delay, func() { _, _, _ = d.forward(r.Method, r.URL.RequestURI(), body) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, answer, err := d.forward(r.Method, r.URL.RequestURI(), body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (d *storeDoor) forward(method, uri string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+d.store.Address()+uri, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
