// Package check validates a cluster text and reports all its problems. The command line
// uses it offline, and the entries use it before they accept a text.
//
// # Usage
//
//	t, err := check.Text(raw)
//	var e *check.Error
//	if errors.As(err, &e) {
//		for _, p := range e.Problems { ... }
//	}
package check

import (
	"fmt"
	"strings"

	"github.com/chestnutsail/chestnutsail/strict"
	"github.com/chestnutsail/chestnutsail/text"
)

// Error lists the problems of an invalid text.
type Error struct{ Problems []strict.Problem }

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Text parses and validates a text. If the text is invalid, it returns an *Error with all
// problems. A syntax error hides other problems, since the rest can't be parsed.
func Text(raw []byte) (*text.Text, error) {
	c := &checker{parsed: &text.Text{}}
	c.doc = strict.Read(raw, c.parsed)
	if len(c.doc.Problems) == 0 || c.parsed.Firm != "" {
		c.checkFirmAndPrefer()
		c.checkFleet()
		c.checkAccounts()
		c.checkCapacity()
		c.checkServices()
		c.checkCycles()
	}
	if len(c.doc.Problems) > 0 {
		c.doc.Sort()
		return nil, &Error{c.doc.Problems}
	}
	return c.parsed, nil
}

// checker validates one text and collects its problems in doc.
type checker struct {
	parsed *text.Text
	doc    *strict.Document
}

func (c *checker) report(path string, value any, want string) {
	c.doc.Report(path, fmt.Sprint(value), want)
}

// checkRange reports a number below minimum or above maximum.
func (c *checker) checkRange(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		c.report(path, value, fmt.Sprintf("want %d to %d", minimum, maximum))
	}
}
