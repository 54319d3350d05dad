package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/check"
	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/diff"
	"github.com/chestnutsail/chestnutsail/strict"
)

type checkCommand struct{ files []string }

func (*checkCommand) name() string { return "check" }

func (c *checkCommand) bind(app *kingpin.Application) {
	cmd := app.Command("check", "Check cluster texts offline and report every fault.")
	cmd.HelpLong("  chestnutsail check examples/perth.yaml examples/lahore.yaml\n")
	cmd.Arg("file", "Files of the texts.").Required().ExistingFilesVar(&c.files)
}

type checkResult struct {
	File     string           `json:"file"`
	Problems []strict.Problem `json:"problems"`
}

func (c *checkCommand) run() int {
	code := exitOK
	var all []checkResult
	for _, file := range c.files {
		_, problems, err := readText(file)
		if err != nil {
			return fail(exitBadInput, err)
		}
		all = append(all, checkResult{file, append([]strict.Problem{}, problems...)})
		if len(problems) > 0 {
			code = exitBadInput
		}
	}
	if outputJSON {
		printJSON(all)
		return code
	}
	for _, f := range all {
		printProblems(f.File, f.Problems)
		if len(f.Problems) == 0 {
			fmt.Printf("%s: ok\n", f.File)
		}
	}
	return code
}

// readText reads a cluster text from a file and checks it. Faults of the text are returned as
// problems, not as an error.
func readText(file string) (raw []byte, problems []strict.Problem, err error) {
	raw, err = os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	_, err = check.Text(raw)
	var e *check.Error
	if errors.As(err, &e) {
		return raw, e.Problems, nil
	}
	return raw, nil, err
}

// printProblems prints the problems of a file on standard error in the format of compiler
// errors: file, line, column and message.
func printProblems(file string, problems []strict.Problem) {
	for _, p := range problems {
		fmt.Fprintf(os.Stderr, "%s:%s\n", file, p)
	}
}

type getCommand struct{ target target }

func (*getCommand) name() string { return "get" }

func (c *getCommand) bind(app *kingpin.Application) {
	cmd := app.Command("get", "Print the cluster text in force; its revision goes to standard error.")
	cmd.HelpLong("  chestnutsail get > cluster.yaml   # prints: revision 7\n  chestnutsail apply --base 7 cluster.yaml\n")
	c.target.bind(cmd)
}

func (c *getCommand) run() int {
	raw, revision, err := c.target.client().Text(context.Background())
	if err != nil {
		return failCall(err)
	}
	if outputJSON {
		return printJSON(struct {
			Revision uint64 `json:"revision"`
			Text     string `json:"text"`
		}{revision, string(raw)})
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", revision)
	fmt.Print(string(raw))
	return exitOK
}

type diffCommand struct {
	target target
	file   string
}

func (*diffCommand) name() string { return "diff" }

func (c *diffCommand) bind(app *kingpin.Application) {
	cmd := app.Command("diff", "Show what applying a text would change; exits with 1 if there are changes.")
	cmd.HelpLong("  chestnutsail diff cluster.yaml\n")
	c.target.bind(cmd)
	cmd.Arg("file", "File of the text.").Required().ExistingFileVar(&c.file)
}

func (c *diffCommand) run() int {
	raw, problems, err := readText(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	current, revision, err := c.target.client().Text(context.Background())
	if err != nil {
		return failCall(err)
	}
	changes := diff.Lines(string(current), string(raw))
	printProblems(c.file, problems)
	if outputJSON {
		printJSON(struct {
			Revision uint64           `json:"revision"`
			Diff     string           `json:"diff"`
			Problems []strict.Problem `json:"problems"`
		}{revision, changes, append([]strict.Problem{}, problems...)})
	} else {
		fmt.Print(changes)
	}
	switch {
	case len(problems) > 0:
		return exitBadInput
	case changes != "":
		return exitFailed
	default:
		return exitOK
	}
}

// reportConflict prints how the text in force, which another operator has changed in the
// meantime, differs from the file, and returns the exit code.
func reportConflict(file string, raw []byte, e *client.Error) int {
	fmt.Fprintf(os.Stderr, "chestnutsail: %s\nFrom %s to the text in force now:\n%s", e.Message, file, diff.Lines(string(raw), e.Current))
	fmt.Fprintf(os.Stderr, "Next: 'chestnutsail get', make the change again, and apply it with --base %d.\n", e.Revision)
	return exitConflict
}
