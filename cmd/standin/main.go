// Command standin runs test doubles of the platform: its store with the list of instances,
// and the agents of its workers.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const readHeaderTimeout = 5 * clock.Second

type workerCommand struct {
	store          string
	listen         string
	count          int
	workersPerRack int
	instance       consul.Instance
}

func main() {
	app := kingpin.New("standin", "Test doubles of the platform, for tests and trials.")
	var opts consultest.Options
	var listen string
	platform := app.Command("platform", "Run the store and the list of instances.")
	platform.Flag("listen", "Host and port to serve on.").Default("127.0.0.1:8500").StringVar(&listen)
	platform.Flag("writes", "Accepted writes per second; 0 means no limit.").Default("300").IntVar(&opts.WritesPerSecond)
	platform.Flag("reads", "Accepted reads per second; 0 means no limit.").Default("2000").IntVar(&opts.ReadsPerSecond)
	platform.Flag("lag", "Delay in milliseconds until a change shows in the list of instances.").Default("0").Int64Var((*int64)(&opts.ListLag))
	var w workerCommand
	w.bind(app.Command("worker", "Run the agents of several workers, each on a port of its own."))
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platform.FullCommand():
		err = serve(listen, consultest.New(opts))
	default:
		err = w.run()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func (w *workerCommand) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("store", "Base URL of the store where the workers are listed.").Default("http://127.0.0.1:8500").StringVar(&w.store)
	cmd.Flag("listen", "Host and first port to serve on.").Default("127.0.0.1:9000").StringVar(&w.listen)
	cmd.Flag("count", "Number of workers.").Default("1").IntVar(&w.count)
	cmd.Flag("domain", "Failure domain of the workers.").Default("a").StringVar(&w.instance.Domain)
	cmd.Flag("rack", "Number of workers in a rack.").Default("8").IntVar(&w.workersPerRack)
	cmd.Flag("cores", "Cores of each worker.").Default("32").IntVar(&w.instance.Capacity.Cores)
	cmd.Flag("memory", "Memory of each worker in MB.").Default("65536").IntVar(&w.instance.Capacity.Memory)
	cmd.Flag("accels", "Accelerators of each worker.").Default("8").IntVar(&w.instance.Capacity.Accelerators)
	cmd.Flag("slots", "Slots of each worker.").Default("8").IntVar(&w.instance.Capacity.Slots)
	cmd.Flag("conns", "Connections that each worker serves at a time.").Default("64").IntVar(&w.instance.Conns)
}

// run starts the agent of each worker and registers the worker in the platform's list of
// instances. It returns when an agent can't be served or a worker can't be registered.
func (w *workerCommand) run() error {
	host, firstPort, err := net.SplitHostPort(w.listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(firstPort)
	if err != nil {
		return err
	}
	store := consul.New(consul.Config{Address: w.store})
	serveErrors := make(chan error, w.count)
	for i := range w.count {
		instance := w.instance
		instance.Name = fmt.Sprintf("%s-%d", instance.Domain, i+1)
		instance.Rack = fmt.Sprintf("%s-r%d", instance.Domain, i/max(w.workersPerRack, 1)+1)
		s := workertest.New(workertest.Options{Name: instance.Name, Capacity: instance.Capacity, Conns: instance.Conns})
		instance.Address = net.JoinHostPort(host, strconv.Itoa(port+i))
		go func() { serveErrors <- serve(instance.Address, s) }()
		if err := store.Register(context.Background(), consul.RoleWorker, instance); err != nil {
			return err
		}
	}
	return <-serveErrors
}

func serve(listen string, h http.Handler) error {
	logrus.WithField("address", listen).Info("standin: serving requests")
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	return server.ListenAndServe()
}
