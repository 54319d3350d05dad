// Package settings defines the settings of an instance and validates all of them together.
//
// Every setting is both a flag and an environment variable; the flag takes precedence. To add a setting,
// add a field to Entry and a line to Entry.definitions.
//
// # Usage
//
//	var s settings.Entry
//	s.Bind(cmd) // kingpin flags and CHESTNUTSAIL_… environment variables
//	if err := s.Check(); err != nil { ... } // *settings.Error with every fault
package settings

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Prefix is the prefix of the name of every environment variable.
const Prefix = "CHESTNUTSAIL_"

// Entry holds the settings with which one instance starts.
type Entry struct {
	// Name is the instance's name, unique within the firm.
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// Listen is the host and port on which the instance serves, Advertise the host and port at which other
	// instances call it.
	Listen    string
	Advertise string
	// StoreURL is the base URL of the platform's store.
	StoreURL string
	// Peers are the hosts and ports of other instances that the instance contacts first to join them.
	Peers []string
	// Secret signs tokens; PreviousSecret is the former secret, whose tokens are still accepted during a
	// rotation.
	Secret         string
	PreviousSecret string
	// LogFormat is the log format: text or json. LogLevel is the lowest level that is logged: debug, info,
	// warn or error.
	LogFormat string
	LogLevel  string
	// Linger is the time in milliseconds for which new requests are accepted after a shutdown has begun.
	Linger clock.Millis
	// DrainTimeout is the longest time in milliseconds to wait for requests in progress at a shutdown.
	DrainTimeout clock.Millis
	// WriteRate and ReadRate are the writes and reads per second that this instance may make in the store, its
	// share of the store's total rates.
	WriteRate int
	ReadRate  int
	// LeaseTime is the time in milliseconds for which a worker runs its part of a gang without a renewal of
	// the lease; RenewInterval is the time in milliseconds between two renewals of a worker's lease.
	LeaseTime     clock.Millis
	RenewInterval clock.Millis

	parseFaults []Fault
}

// definitions returns the definitions of all settings, in the order of the help and of the docs.
func (s *Entry) definitions() []definition {
	return []definition{
		nameSetting("name", &s.Name, "Name of this instance, unique within the firm."),
		nameSetting("domain", &s.Domain, "Failure domain of this instance."),
		addressSetting("listen", &s.Listen, "127.0.0.1:7000", "Host and port to serve on."),
		addressSetting("advertise", &s.Advertise, "", "Host and port at which other entries reach this instance; the same as --listen if empty."),
		urlSetting("store", &s.StoreURL, "http://127.0.0.1:8500", "Base URL of the platform's store."),
		addressesSetting("peers", &s.Peers, "Host and port of another entry to join; may be repeated, and the environment variable holds one per line."),
		secretSetting("secret", &s.Secret, false, "Secret that signs the tokens of callers, operators and peers."),
		secretSetting("previous", &s.PreviousSecret, true, "Secret that is still accepted while secrets are rotated."),
		choiceSetting("log", &s.LogFormat, "Log format.", "text", "json"),
		choiceSetting("level", &s.LogLevel, "Lowest level that is logged.", "info", "debug", "warn", "error"),
		durationSetting("linger", &s.Linger, 4*clock.Second, 0, clock.Minute, "Time for which a stopping instance accepts new requests, until the load balancer has noticed."),
		durationSetting("drain", &s.DrainTimeout, 30*clock.Second, clock.Second, 10*clock.Minute, "Longest time to wait for requests in progress when the instance stops."),
		numberSetting("writes", &s.WriteRate, 25, 1, 10000, "Share of the store's writes a second that this instance may use."),
		numberSetting("reads", &s.ReadRate, 180, 10, 100000, "Share of the store's reads a second that this instance may use."),
		durationSetting("lease", &s.LeaseTime, 40*clock.Second, 2*clock.Second, 10*clock.Minute, "Time for which a worker runs its part of a gang without a renewal of the lease."),
		durationSetting("renew", &s.RenewInterval, 15*clock.Second, 500*clock.Millisecond, 5*clock.Minute, "Time between two renewals of a worker's lease; at most half of --lease."),
	}
}

// Fault is one value of a setting that is not allowed. Allowed describes the values that are.
type Fault struct {
	Flag    string
	Value   string
	Allowed string
}

// Error reports all faults of the settings.
type Error struct{ Faults []Fault }

// Error returns one line per fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("--%s (%s): %q is not allowed; want %s", f.Flag, Variable(f.Flag), f.Value, f.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Variable returns the name of the environment variable of a flag.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Setting describes one setting for the documentation.
type Setting struct {
	Flag     string
	Variable string
	Default  string
	Allowed  string
	Help     string
}

// Table returns a description of every setting, in the order of the help.
func Table() []Setting {
	var list []Setting
	for _, d := range new(Entry).definitions() {
		list = append(list, Setting{d.flag, Variable(d.flag), d.defaultValue, d.allowed, d.help})
	}
	return list
}

// Bind declares the settings as flags of a command. Values that cannot be parsed are kept for Check, so
// that all faults are reported together.
func (s *Entry) Bind(cmd *kingpin.CmdClause) {
	for _, d := range s.definitions() {
		help := strings.TrimSuffix(d.help, ".") + "; " + d.allowed + "."
		flag := cmd.Flag(d.flag, help).Envar(Variable(d.flag))
		if d.defaultValue != "" {
			flag = flag.Default(d.defaultValue)
		}
		flag.SetValue(&flagValue{definition: d, parseFaults: &s.parseFaults})
	}
}

// Check replaces zero values by defaults and validates all settings. It returns an *Error with every fault,
// or nil.
func (s *Entry) Check() error {
	faults := append([]Fault(nil), s.parseFaults...)
	for _, d := range s.definitions() {
		d.setDefault()
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	for _, d := range s.definitions() {
		if hasFault(faults, d.flag) {
			continue
		}
		for _, invalid := range d.invalidValues() {
			faults = append(faults, Fault{d.flag, invalid, d.allowed})
		}
	}
	if !hasFault(faults, "lease") && !hasFault(faults, "renew") && 2*s.RenewInterval > s.LeaseTime {
		faults = append(faults, Fault{"renew", s.RenewInterval.String(), "at most half of --lease, which is " + s.LeaseTime.String()})
	}
	if len(faults) > 0 {
		return &Error{faults}
	}
	return nil
}

func hasFault(faults []Fault, flag string) bool {
	for _, f := range faults {
		if f.Flag == flag {
			return true
		}
	}
	return false
}
