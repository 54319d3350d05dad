package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

// row declares one setting.
type row struct {
	flag, fallback, allowed, help string
	// set reads a value and reports whether it could be read.
	set func(v string) bool
	// fill puts the default in the place of a zero value.
	fill func()
	// check returns the values that are not allowed, fit to be shown.
	check func() []string
	many  bool
}

// value makes a row a flag whose faults wait for Check.
type value struct {
	row    row
	unread *[]Fault
}

// Set reads a value; a value that can't be read is reported by Check.
func (v *value) Set(s string) error {
	if !v.row.set(s) {
		*v.unread = append(*v.unread, Fault{v.row.flag, s, v.row.allowed})
	}
	return nil
}

// String returns nothing, so that the help shows the default alone.
func (v *value) String() string { return "" }

// IsCumulative tells kingpin that the flag may be repeated.
func (v *value) IsCumulative() bool { return v.row.many }

const (
	minSecret   = 16 // bytes
	allowedName = "1 to 63 letters, digits, '.', '_' or '-'"
	allowedPort = "HOST:PORT"
)

var nameForm = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// text is a setting whose value is used as it is written.
func text(flag string, p *string, fallback, allowed, help string, ok func(v string) bool) row {
	return row{
		flag: flag, fallback: fallback, allowed: allowed, help: help,
		set: func(v string) bool {
			*p = v
			return true
		},
		fill: func() {
			if *p == "" {
				*p = fallback
			}
		},
		check: func() []string {
			if ok(*p) {
				return nil
			}
			return []string{*p}
		},
	}
}

func name(flag string, p *string, help string) row {
	return text(flag, p, "", allowedName, help, nameForm.MatchString)
}

func address(flag string, p *string, fallback, help string) row {
	return text(flag, p, fallback, allowedPort, help, isAddress)
}

func base(flag string, p *string, fallback, help string) row {
	return text(flag, p, fallback, "an http or https URL", help, isURL)
}

// choice is a setting with a closed set of values, the default first.
func choice(flag string, p *string, help string, values ...string) row {
	allowed := strings.Join(values[:len(values)-1], ", ") + " or " + values[len(values)-1]
	return text(flag, p, values[0], allowed, help, func(v string) bool { return slices.Contains(values, v) })
}

// secret is a setting whose value is never shown.
func secret(flag string, p *string, optional bool, help string) row {
	allowed := fmt.Sprintf("%d bytes or more", minSecret)
	if optional {
		allowed += ", or nothing"
	}
	r := text(flag, p, "", allowed, help, nil)
	r.check = func() []string {
		if len(*p) >= minSecret || optional && *p == "" {
			return nil
		}
		return []string{strings.Repeat("*", len(*p))}
	}
	return r
}

func addresses(flag string, p *[]string, help string) row {
	return row{
		flag: flag, allowed: allowedPort, help: help, many: true,
		set: func(v string) bool {
			*p = append(*p, v)
			return true
		},
		fill: func() {},
		check: func() []string {
			var wrong []string
			for _, v := range *p {
				if !isAddress(v) {
					wrong = append(wrong, v)
				}
			}
			return wrong
		},
	}
}

// count is a whole number from least to most; 0 stands for the default.
func count(flag string, p *int, fallback, least, most int, help string) row {
	return row{
		flag: flag, fallback: strconv.Itoa(fallback), allowed: fmt.Sprintf("a number from %d to %d", least, most), help: help,
		set: func(v string) bool {
			n, err := strconv.Atoi(v)
			*p = n
			return err == nil && n >= least && n <= most
		},
		fill: func() {
			if *p == 0 {
				*p = fallback
			}
		},
		check: func() []string {
			if *p >= least && *p <= most {
				return nil
			}
			return []string{strconv.Itoa(*p)}
		},
	}
}

// span is a time such as 500ms or 10s, from least to most; 0 stands for the default.
func span(flag string, p *clock.Millis, fallback, least, most clock.Millis, help string) row {
	return row{
		flag: flag, fallback: fallback.String(), allowed: fmt.Sprintf("a time from %s to %s", least, most), help: help,
		set: func(v string) bool {
			d, err := time.ParseDuration(v)
			*p = clock.FromDuration(d)
			return err == nil && *p >= least && *p <= most
		},
		fill: func() {
			if *p == 0 {
				*p = fallback
			}
		},
		check: func() []string {
			if *p >= least && *p <= most {
				return nil
			}
			return []string{p.String()}
		},
	}
}

func isAddress(v string) bool {
	_, port, err := net.SplitHostPort(v)
	return err == nil && port != ""
}

func isURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
