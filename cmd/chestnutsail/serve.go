package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/spool"
)

// serveCommand runs an instance on the operators' platform, configured by the platform's
// settings file.
type serveCommand struct {
	config  string
	level   string
	metrics int
}

func (*serveCommand) name() string { return "serve" }

func (c *serveCommand) bind(app *kingpin.Application) {
	cmd := app.Command("serve", "Run an instance on the operators' platform.")
	cmd.Flag("config", "The platform's settings file.").Envar(settings.Variable("config")).Required().StringVar(&c.config)
	cmd.Flag("level", "Lowest level that is logged.").Envar(settings.Variable("level")).Default("info").EnumVar(&c.level, "debug", "info", "warn", "error")
	cmd.Flag("metrics", "Port for metrics; 0 means the last of the free ports in the settings file.").Envar(settings.Variable("metrics")).Default("0").IntVar(&c.metrics)
}

func (c *serveCommand) run() int {
	s, err := platform.ReadSettings(c.config)
	if err != nil {
		return fail(exitBadInput, err)
	}
	counterSet := counters.New()
	logOutput := spool.New(spool.Options{Out: os.Stdout, OnDrop: counterSet.Counter("chestnutsail_log_lines_dropped_total").Inc})
	log := newServeLogger(logOutput, c.level).WithField("instance", s.Name)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	instance := fleet.New(fleet.Options{Settings: s, Metrics: c.metrics, Log: log, Counters: counterSet})
	if err := instance.Start(ctx); err != nil {
		return fail(exitFailed, err)
	}
	settingsTicker := clock.NewTicker(settingsPollInterval)
	defer settingsTicker.Stop()
	for current := s; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-hangup:
			current = c.reload(instance, current, log)
		case <-settingsTicker.C:
			current = c.reload(instance, current, log)
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), max(s.Bounds.TerminationGrace-clock.Second/2, clock.Second).Duration())
	defer cancel()
	if err := errors.Join(instance.Stop(stopCtx), logOutput.Stop(stopCtx)); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// settingsPollInterval is the time in milliseconds between two reads of the settings file,
// which may change without a signal.
const settingsPollInterval = 5 * clock.Second

// reload reads the settings file again, passes changed settings to the instance and returns
// the settings in force. If the file can't be read, reload logs the error and keeps the
// current settings.
func (c *serveCommand) reload(instance *fleet.Instance, current platform.Settings, log *logrus.Entry) platform.Settings {
	s, err := platform.ReadSettings(c.config)
	if err != nil {
		log.WithError(err).Error("settings: could not reload the settings file; the current settings stay in force")
		return current
	}
	if s != current {
		instance.Reload(s)
	}
	return s
}

func newServeLogger(out *spool.Spool, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
