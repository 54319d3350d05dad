// Package settings holds the settings of an entry and checks them all at once.
//
// Every setting is a flag and an environment variable; the flag wins. A new one is
// a field of Entry and one line in its rows.
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

// Prefix begins the name of each environment variable.
const Prefix = "CHESTNUTSAIL_"

// Entry is what one entry is told at its start.
type Entry struct {
	// Name is the instance's name, unique within the firm.
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// Listen is the host and port to serve on, Advertise the one told to others.
	Listen    string
	Advertise string
	// Store is the base URL of the platform's store.
	Store string
	// Peers are the addresses of other entries to join first.
	Peers []string
	// Secret signs tokens, Previous is still accepted while secrets are rotated.
	Secret   string
	Previous string
	// Log is the form of the logs: text or json. Level is debug, info, warn or error.
	Log   string
	Level string
	// Linger is how long in milliseconds new work is taken after the begin of a stop.
	Linger clock.Millis
	// Drain bounds the time in milliseconds for finishing work at a stop.
	Drain clock.Millis
	// Writes and Reads are this instance's share of the store's rate, in calls a second.
	Writes int
	Reads  int
	// Lease is how long in milliseconds a running gang's part goes on unrenewed; Renew
	// is the time between two renewals of a worker.
	Lease clock.Millis
	Renew clock.Millis

	unread []Fault
}

// rows declares every setting, in the order of the help and of the docs.
func (s *Entry) rows() []row {
	return []row{
		name("name", &s.Name, "Name of this instance, unique within the firm."),
		name("domain", &s.Domain, "Failure domain of this instance."),
		address("listen", &s.Listen, "127.0.0.1:7000", "Host and port to serve on."),
		address("advertise", &s.Advertise, "", "Host and port told to other entries; the same as --listen if empty."),
		base("store", &s.Store, "http://127.0.0.1:8500", "Base URL of the platform's store."),
		addresses("peers", &s.Peers, "Host and port of another entry to join; may be repeated, and the variable holds one a line."),
		secret("secret", &s.Secret, false, "Secret that signs the tokens of callers, operators and peers."),
		secret("previous", &s.Previous, true, "Secret that is still accepted while secrets are rotated."),
		choice("log", &s.Log, "Form of the logs.", "text", "json"),
		choice("level", &s.Level, "Least level that is logged.", "info", "debug", "warn", "error"),
		span("linger", &s.Linger, 4*clock.Second, 0, clock.Minute, "Time for which a stopping instance takes new work, until the balancer has learned."),
		span("drain", &s.Drain, 30*clock.Second, clock.Second, 10*clock.Minute, "Longest time for finishing work at a stop."),
		count("writes", &s.Writes, 25, 1, 10000, "Share of the store's writes a second that this instance may use."),
		count("reads", &s.Reads, 180, 10, 100000, "Share of the store's reads a second that this instance may use."),
		span("lease", &s.Lease, 40*clock.Second, 2*clock.Second, 10*clock.Minute, "Time for which a running part of a gang goes on without a renewal."),
		span("renew", &s.Renew, 15*clock.Second, 500*clock.Millisecond, 5*clock.Minute, "Time between two renewals of a worker; at most half of --lease."),
	}
}

// Fault is one setting that is not allowed.
type Fault struct {
	Flag    string
	Value   string
	Allowed string
}

// Error lists every fault of the settings.
type Error struct{ Faults []Fault }

// Error formats one fault a line.
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

// Setting describes one setting for the docs.
type Setting struct {
	Flag     string
	Variable string
	Default  string
	Allowed  string
	Help     string
}

// Table returns every setting of an entry in the order of the help.
func Table() []Setting {
	var list []Setting
	for _, r := range new(Entry).rows() {
		list = append(list, Setting{r.flag, Variable(r.flag), r.fallback, r.allowed, r.help})
	}
	return list
}

// Bind declares the settings as flags of a command. Values that can't be read are
// kept for Check, so that all faults are reported together.
func (s *Entry) Bind(cmd *kingpin.CmdClause) {
	for _, r := range s.rows() {
		help := strings.TrimSuffix(r.help, ".") + "; " + r.allowed + "."
		flag := cmd.Flag(r.flag, help).Envar(Variable(r.flag))
		if r.fallback != "" {
			flag = flag.Default(r.fallback)
		}
		flag.SetValue(&value{row: r, unread: &s.unread})
	}
}

// Check fills in defaults and returns an *Error with every fault, or nil.
func (s *Entry) Check() error {
	faults := append([]Fault(nil), s.unread...)
	for _, r := range s.rows() {
		r.fill()
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	for _, r := range s.rows() {
		if hasFault(faults, r.flag) {
			continue
		}
		for _, wrong := range r.check() {
			faults = append(faults, Fault{r.flag, wrong, r.allowed})
		}
	}
	if !hasFault(faults, "lease") && !hasFault(faults, "renew") && 2*s.Renew > s.Lease {
		faults = append(faults, Fault{"renew", s.Renew.String(), "at most half of --lease, which is " + s.Lease.String()})
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
