// Package settings holds the settings of an entry and checks them all at once.
//
// # Usage
//
//	var s settings.Entry
//	s.Bind(cmd) // kingpin flags and CHESTNUTSAIL_… environment variables
//	if err := s.Check(); err != nil { ... } // *settings.Error with every fault
package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
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
		lines[i] = fmt.Sprintf("--%s (%s%s): %q is not allowed; want %s", f.Flag, Prefix, strings.ToUpper(f.Flag), f.Value, f.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Bind declares the settings as flags of a command.
func (s *Entry) Bind(cmd *kingpin.CmdClause) {
	flag := func(name, help string) *kingpin.FlagClause {
		return cmd.Flag(name, help).Envar(Prefix + strings.ToUpper(name))
	}
	flag("name", "Name of this instance, unique within the firm.").StringVar(&s.Name)
	flag("domain", "Failure domain of this instance.").StringVar(&s.Domain)
	flag("listen", "Host and port to serve on.").Default("127.0.0.1:7000").StringVar(&s.Listen)
	flag("advertise", "Host and port told to other entries; the same as --listen if empty.").StringVar(&s.Advertise)
	flag("store", "Base URL of the platform's store.").Default("http://127.0.0.1:8500").StringVar(&s.Store)
	flag("peers", "Host and port of another entry to join; may be repeated.").StringsVar(&s.Peers)
	flag("secret", "Secret that signs the tokens of callers, operators and peers.").StringVar(&s.Secret)
	flag("previous", "Secret that is still accepted while secrets are rotated.").StringVar(&s.Previous)
	flag("log", "Form of the logs: text or json.").Default("text").StringVar(&s.Log)
	flag("level", "Least level that is logged: debug, info, warn or error.").Default("info").StringVar(&s.Level)
}

var nameForm = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

var levels = []string{"debug", "info", "warn", "error"}

const minSecret = 16 // bytes

// Check fills in defaults that depend on other settings and returns an *Error
// with every fault, or nil.
func (s *Entry) Check() error {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	var faults []Fault
	want := func(ok bool, flag, value, allowed string) {
		if !ok {
			faults = append(faults, Fault{flag, value, allowed})
		}
	}
	const name = "1 to 63 letters, digits, '.', '_' or '-'"
	want(nameForm.MatchString(s.Name), "name", s.Name, name)
	want(nameForm.MatchString(s.Domain), "domain", s.Domain, name)
	want(isAddress(s.Listen), "listen", s.Listen, "HOST:PORT")
	want(isAddress(s.Advertise), "advertise", s.Advertise, "HOST:PORT")
	want(isURL(s.Store), "store", s.Store, "an http or https URL")
	for _, p := range s.Peers {
		want(isAddress(p), "peers", p, "HOST:PORT")
	}
	want(len(s.Secret) >= minSecret, "secret", mask(s.Secret), "16 bytes or more")
	want(s.Previous == "" || len(s.Previous) >= minSecret, "previous", mask(s.Previous), "16 bytes or more, or nothing")
	want(s.Log == "text" || s.Log == "json", "log", s.Log, "text or json")
	want(slices.Contains(levels, s.Level), "level", s.Level, "debug, info, warn or error")
	if len(faults) > 0 {
		return &Error{faults}
	}
	return nil
}

func isAddress(v string) bool {
	_, port, err := net.SplitHostPort(v)
	return err == nil && port != ""
}

func isURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// mask keeps secrets out of messages.
func mask(v string) string { return strings.Repeat("*", len(v)) }
