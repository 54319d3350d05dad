// Command chestnutsail runs an instance and contains the command line for callers and
// operators.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/settings"
)

const helpText = `Scheduler for multi-accelerator jobs under client account guarantees.

Exit codes: 0 done or accepted, 1 failed, 2 bad input, 3 refused and not run,
4 unknown, 5 conflict with another change.`

// usageTemplate is kingpin's default template with the examples of the selected command
// inserted.
var usageTemplate = strings.Replace(kingpin.DefaultUsageTemplate, "{{if .Context.Flags -}}",
	"{{if .Context.SelectedCommand}}{{if .Context.SelectedCommand.HelpLong}}Examples:\n{{.Context.SelectedCommand.HelpLong}}\n{{end}}{{end -}}\n{{if .Context.Flags -}}", 1)

// command is a subcommand. Its method run returns the exit code.
type command interface {
	bind(app *kingpin.Application)
	name() string
	run() int
}

// outputJSON is the value of the flag --json, which all commands share.
var outputJSON bool

func main() {
	os.Exit(run(os.Args[1:]))
}

func commands() []command {
	return []command{
		&demoCommand{},
		&entryCommand{}, &serveCommand{},
		&checkCommand{}, &getCommand{}, &diffCommand{}, &applyCommand{},
		&submitCommand{}, &waitCommand{}, &cancelCommand{}, &loadCommand{},
		&statusCommand{}, &drainCommand{}, &traceCommand{}, &replayCommand{}, &explainCommand{}, &lintCommand{},
		&tokenCommand{}, &completionCommand{}, &versionCommand{},
	}
}

func run(args []string) int {
	app := kingpin.New("chestnutsail", helpText)
	app.HelpFlag.Short('h')
	app.UsageTemplate(usageTemplate)
	app.Flag("json", "Print JSON for programs instead of tables for people.").
		Envar(settings.Variable("json")).BoolVar(&outputJSON)
	list := commands()
	for _, c := range list {
		c.bind(app)
	}
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "chestnutsail: %v\nTry 'chestnutsail --help'.\n", err)
		return exitBadInput
	}
	for _, c := range list {
		if c.name() == selected {
			return c.run()
		}
	}
	return exitBadInput
}
