package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/entry"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/token"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const (
	workersPerDomain = 4
	startTimeout     = 15 * clock.Second
	stopTimeout      = 5 * clock.Second
	pollInterval     = 20 * clock.Millisecond
)

var domains = []string{"a", "b", "c"}

var workerCapacity = job.Resources{Cores: 32, Memory: 65536, Accelerators: 8, Slots: 8}

// system holds the stand-ins and the entries that the demo runs.
type system struct {
	clock    *clock.Clock
	storeURL string
	tokens   *token.Secrets
	workers  []*workertest.Server
	// addresses are the base URLs of the entries, in the order of domains.
	addresses []string
	entries   []*entry.Entry
	servers   []*http.Server
}

// start starts the stand-ins and the entries. If one of them fails to start, it stops
// all others and returns the error.
func start(ctx context.Context, log *logrus.Logger) (*system, error) {
	secret := rand.Text()
	s := &system{clock: clock.New(), tokens: token.New(secret)}
	err := s.startPlatform(ctx)
	if err == nil {
		err = s.startEntries(ctx, secret, log)
	}
	if err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) startPlatform(ctx context.Context) error {
	address, err := s.serve(consultest.New(consultest.Options{}))
	if err != nil {
		return err
	}
	s.storeURL = "http://" + address
	for _, domain := range domains {
		for i := range workersPerDomain {
			instance := consul.Instance{
				Name: fmt.Sprintf("%s-%d", domain, i+1), Domain: domain, Rack: domain + "-r1",
				Capacity: workerCapacity, Conns: 64,
			}
			w := workertest.New(workertest.Options{Name: instance.Name, Capacity: instance.Capacity, Conns: instance.Conns})
			if instance.Address, err = s.serve(w); err != nil {
				return err
			}
			s.workers = append(s.workers, w)
			if err := consul.New(consul.Config{Address: s.storeURL}).Register(ctx, consul.RoleWorker, instance); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *system) startEntries(ctx context.Context, secret string, log *logrus.Logger) error {
	var listenAddresses []string
	for range domains {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		listenAddresses = append(listenAddresses, address)
	}
	for i, domain := range domains {
		entrySettings := settings.Entry{
			Name: "entry-" + domain, Domain: domain, Listen: listenAddresses[i], StoreURL: s.storeURL,
			Peers: listenAddresses, Secret: secret,
		}
		if err := entrySettings.Check(); err != nil {
			return err
		}
		e := entry.New(entry.Options{Settings: entrySettings, Log: log})
		if err := e.Start(ctx); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		s.addresses = append(s.addresses, "http://"+listenAddresses[i])
	}
	return nil
}

// serve serves HTTP with the handler on a free loopback port until stop is called, and
// returns the address.
func (s *system) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout.Duration()}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *system) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	for _, e := range s.entries {
		_ = e.Stop(ctx)
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// client returns a client of the entry of a failure domain, with a token for the role
// and the account.
func (s *system) client(domainIndex int, role token.Role, account string) *client.Client {
	return client.New(client.Options{Address: s.addresses[domainIndex], Token: s.tokens.Mint(role, account)})
}

// waitUntilReady waits until every entry reports that it is ready, which means that it
// has a cluster text in force.
func (s *system) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	for _, address := range s.addresses {
		for !respondsOK(ctx, address+"/ready") {
			if !clock.Sleep(ctx, pollInterval) {
				return errors.New("an entry did not become ready")
			}
		}
	}
	return nil
}

func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// execution is one execution of a task, with the name of the worker.
type execution struct {
	worker string
	workertest.Execution
}

// executions returns all executions of a request, or of all members of a job, in the
// order of the workers.
func (s *system) executions(account, key string) []execution {
	var found []execution
	for i, w := range s.workers {
		for _, e := range w.Journal() {
			if e.ID == account+"/"+key || strings.HasSuffix(e.ID, "/"+account+"/"+key) {
				found = append(found, execution{workerName(i), e})
			}
		}
	}
	return found
}

// workerName returns the name of the i-th worker, counted from 0 across all domains.
func workerName(i int) string {
	return fmt.Sprintf("%s-%d", domains[i/workersPerDomain], i%workersPerDomain+1)
}

// freeAddress returns a loopback address on which no socket listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
