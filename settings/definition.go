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

// definition declares one setting, that is, a flag with its environment variable.
type definition struct {
	flag, defaultValue, allowed, help string
	// parse stores a value in the settings. It reports false if the value is malformed or, for a number or a
	// duration, out of range.
	parse func(v string) bool
	// setDefault replaces a zero value by the default.
	setDefault func()
	// invalidValues returns the current values that are not allowed, in a form that may be shown; a secret is
	// masked.
	invalidValues func() []string
	repeatable    bool
}

// flagValue makes a definition a kingpin flag. Faults of its values are kept for Check to report.
type flagValue struct {
	definition  definition
	parseFaults *[]Fault
}

// Set parses a value. It never returns an error, because Check reports a value that cannot be parsed.
func (v *flagValue) Set(s string) error {
	if !v.definition.parse(s) {
		*v.parseFaults = append(*v.parseFaults, Fault{v.definition.flag, s, v.definition.allowed})
	}
	return nil
}

// String returns the empty string, so that the help shows only the declared default.
func (v *flagValue) String() string { return "" }

// IsCumulative reports to kingpin whether the flag may be repeated.
func (v *flagValue) IsCumulative() bool { return v.definition.repeatable }

const (
	minSecretBytes = 16 // bytes
	allowedName    = "1 to 63 letters, digits, '.', '_' or '-'"
	allowedPort    = "HOST:PORT"
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// textSetting declares a setting whose value is used as it is written.
func textSetting(flag string, target *string, defaultValue, allowed, help string, valid func(v string) bool) definition {
	return definition{
		flag: flag, defaultValue: defaultValue, allowed: allowed, help: help,
		parse: func(v string) bool {
			*target = v
			return true
		},
		setDefault: func() {
			if *target == "" {
				*target = defaultValue
			}
		},
		invalidValues: func() []string {
			if valid(*target) {
				return nil
			}
			return []string{*target}
		},
	}
}

func nameSetting(flag string, target *string, help string) definition {
	return textSetting(flag, target, "", allowedName, help, namePattern.MatchString)
}

func addressSetting(flag string, target *string, defaultValue, help string) definition {
	return textSetting(flag, target, defaultValue, allowedPort, help, isAddress)
}

func urlSetting(flag string, target *string, defaultValue, help string) definition {
	return textSetting(flag, target, defaultValue, "an http or https URL", help, isURL)
}

// choiceSetting declares a setting with a closed set of values, the default first.
func choiceSetting(flag string, target *string, help string, values ...string) definition {
	allowed := strings.Join(values[:len(values)-1], ", ") + " or " + values[len(values)-1]
	return textSetting(flag, target, values[0], allowed, help, func(v string) bool { return slices.Contains(values, v) })
}

// secretSetting declares a setting whose value is never shown in messages.
func secretSetting(flag string, target *string, optional bool, help string) definition {
	allowed := fmt.Sprintf("%d bytes or more", minSecretBytes)
	if optional {
		allowed += ", or nothing"
	}
	d := textSetting(flag, target, "", allowed, help, nil)
	d.invalidValues = func() []string {
		if len(*target) >= minSecretBytes || optional && *target == "" {
			return nil
		}
		return []string{strings.Repeat("*", len(*target))}
	}
	return d
}

func addressesSetting(flag string, target *[]string, help string) definition {
	return definition{
		flag: flag, allowed: allowedPort, help: help, repeatable: true,
		parse: func(v string) bool {
			*target = append(*target, v)
			return true
		},
		setDefault: func() {},
		invalidValues: func() []string {
			var invalid []string
			for _, v := range *target {
				if !isAddress(v) {
					invalid = append(invalid, v)
				}
			}
			return invalid
		},
	}
}

// numberSetting declares a whole number from minimum to maximum; 0 stands for the default.
func numberSetting(flag string, target *int, defaultValue, minimum, maximum int, help string) definition {
	return definition{
		flag: flag, defaultValue: strconv.Itoa(defaultValue), allowed: fmt.Sprintf("a number from %d to %d", minimum, maximum), help: help,
		parse: func(v string) bool {
			n, err := strconv.Atoi(v)
			*target = n
			return err == nil && n >= minimum && n <= maximum
		},
		setDefault: func() {
			if *target == 0 {
				*target = defaultValue
			}
		},
		invalidValues: func() []string {
			if *target >= minimum && *target <= maximum {
				return nil
			}
			return []string{strconv.Itoa(*target)}
		},
	}
}

// durationSetting declares a duration such as 500ms or 10s, from minimum to maximum; 0 stands for the
// default.
func durationSetting(flag string, target *clock.Millis, defaultValue, minimum, maximum clock.Millis, help string) definition {
	return definition{
		flag: flag, defaultValue: defaultValue.String(), allowed: fmt.Sprintf("a time from %s to %s", minimum, maximum), help: help,
		parse: func(v string) bool {
			d, err := time.ParseDuration(v)
			*target = clock.FromDuration(d)
			return err == nil && *target >= minimum && *target <= maximum
		},
		setDefault: func() {
			if *target == 0 {
				*target = defaultValue
			}
		},
		invalidValues: func() []string {
			if *target >= minimum && *target <= maximum {
				return nil
			}
			return []string{target.String()}
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
