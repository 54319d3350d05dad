package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/entry"
	"github.com/chestnutsail/chestnutsail/settings"
)

// closeTimeout is the time in milliseconds that is left for closing connections and stopping
// the services after a drain.
const closeTimeout = 5 * clock.Second

type entryCommand struct{ settings settings.Entry }

func (*entryCommand) name() string { return "entry" }

func (c *entryCommand) bind(app *kingpin.Application) {
	c.settings.Bind(app.Command("entry", "Run an entry instance."))
}

func (c *entryCommand) run() int {
	if err := c.settings.Check(); err != nil {
		return fail(exitBadInput, err)
	}
	log := newEntryLogger(c.settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := entry.New(entry.Options{Settings: c.settings, Log: log})
	if err := e.Start(ctx); err != nil {
		return fail(exitFailed, err)
	}
	select {
	case <-ctx.Done():
	case <-e.Leaving():
	}
	limit := c.settings.Linger + c.settings.DrainTimeout + closeTimeout
	stopCtx, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	if err := e.Stop(stopCtx); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

func newEntryLogger(s settings.Entry) *logrus.Logger {
	log := logrus.New()
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err == nil {
		log.SetLevel(level)
	}
	return log
}
