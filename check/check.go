// Package check finds every fault of a cluster text before it is put in force.
// The command line uses it offline and the entries use it before they accept a
// text.
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

// Error lists every fault of a text.
type Error struct{ Problems []strict.Problem }

// Error formats one fault a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Text reads a text and returns it, or an *Error with all its faults. Faults of
// the syntax hide others, since nothing behind them can be read.
func Text(raw []byte) (*text.Text, error) {
	c := &checker{parsed: &text.Text{}}
	c.doc = strict.Read(raw, c.parsed)
	if len(c.doc.Problems) == 0 || c.parsed.Firm != "" {
		c.checkFirm()
		c.checkFleet()
		c.checkAccounts()
		c.checkFeasible()
		c.checkServices()
		c.checkCycles()
	}
	if len(c.doc.Problems) > 0 {
		c.doc.Sort()
		return nil, &Error{c.doc.Problems}
	}
	return c.parsed, nil
}

// checker collects the faults of one text.
type checker struct {
	parsed *text.Text
	doc    *strict.Document
}

func (c *checker) report(path string, value any, want string) {
	c.doc.Report(path, fmt.Sprint(value), want)
}

// checkRange reports a number outside of least to most.
func (c *checker) checkRange(path string, value, least, most int) {
	if value < least || value > most {
		c.report(path, value, fmt.Sprintf("want %d to %d", least, most))
	}
}
