package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/chestnutsail/chestnutsail/advice"
	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// The exit codes of the commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
	exitRefused  = 3
	exitUnknown  = 4
	exitConflict = 5
)

func fail(code int, err error) int {
	fmt.Fprintf(os.Stderr, "chestnutsail: %v\n", err)
	return code
}

// failCall prints the error of a failed call to an entry and returns the exit code for it.
func failCall(err error) int {
	var e *client.Error
	if !errors.As(err, &e) {
		fmt.Fprintf(os.Stderr, "chestnutsail: %v\nIs an entry running at --address? Any other entry can be called instead.\n", err)
		return exitUnknown
	}
	switch e.Status {
	case http.StatusUnauthorized:
		fmt.Fprintf(os.Stderr, "chestnutsail: %s\nMake a token with 'chestnutsail token operator NAME' and pass it as --token.\n", e.Message)
		return exitRefused
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return fail(exitBadInput, err)
	case http.StatusPreconditionFailed:
		return fail(exitConflict, err)
	case http.StatusGatewayTimeout:
		return fail(exitUnknown, err)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fail(exitRefused, err)
	default:
		return fail(exitFailed, err)
	}
}

func printJSON(v any) int {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// printTable prints rows in aligned columns. The first row is the heading.
func printTable(rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// printOutcome prints an outcome and returns the exit code for it. The body goes to standard
// output and the description to standard error; with --json the whole outcome goes to
// standard output.
func printOutcome(o outcome.Outcome) int {
	if outputJSON {
		if code := printJSON(o); code != exitOK {
			return code
		}
		return outcomeExitCode(o)
	}
	fmt.Fprintln(os.Stderr, describeOutcome(o))
	if len(o.Body) > 0 {
		fmt.Println(string(o.Body))
	}
	return outcomeExitCode(o)
}

// describeOutcome returns a few lines that describe the outcome of a request and the next
// step for the user.
func describeOutcome(o outcome.Outcome) string {
	s := string(o.Kind)
	if o.Key != "" {
		s = o.Key + ": " + s
	}
	if o.Reason != "" && o.Kind != outcome.Accepted {
		s += ": " + string(o.Reason)
	}
	if o.Detail != "" {
		s += ": " + o.Detail
	}
	if o.Worker != "" {
		s += fmt.Sprintf(" (%s, attempt %d)", o.Worker, o.Attempt)
	}
	if o.Kind == outcome.Accepted {
		return s + "\nNext: chestnutsail wait " + o.Key
	}
	if next := advice.For(o.Reason); next != "" {
		s += "\nNext: " + next
		if o.Retry > 0 {
			s += fmt.Sprintf(" (after %s)", o.Retry)
		}
	}
	return s
}

func outcomeExitCode(o outcome.Outcome) int {
	switch o.Kind {
	case outcome.Done, outcome.Accepted:
		return exitOK
	case outcome.NotRun:
		return refusalExitCode(o.Reason)
	case outcome.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

func refusalExitCode(r outcome.Reason) int {
	switch r {
	case outcome.BadRequest, outcome.TooLarge, outcome.UnknownService, outcome.ImpossibleShape:
		return exitBadInput
	case outcome.KeyReused:
		return exitConflict
	default:
		return exitRefused
	}
}
