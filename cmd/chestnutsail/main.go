// Command chestnutsail is the entry instance and its command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the command line.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
	exitRefused  = 3
	exitUnknown  = 4
	exitConflict = 5
)

// command is a subcommand: run returns the exit code.
type command interface {
	bind(app *kingpin.Application)
	name() string
	run() int
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	app := kingpin.New("chestnutsail", "Scheduler for multi-accelerator jobs under client account guarantees.")
	app.HelpFlag.Short('h')
	commands := []command{&entryCommand{}, &applyCommand{}, &submitCommand{}, &tokenCommand{}}
	for _, c := range commands {
		c.bind(app)
	}
	chosen, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "chestnutsail: %v; see --help\n", err)
		return exitBadInput
	}
	for _, c := range commands {
		if c.name() == chosen {
			return c.run()
		}
	}
	return exitBadInput
}

func fail(code int, err error) int {
	fmt.Fprintf(os.Stderr, "chestnutsail: %v\n", err)
	return code
}
