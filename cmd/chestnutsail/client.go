package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/settings"
	"github.com/chestnutsail/chestnutsail/token"
)

// target is where client commands send their calls.
type target struct {
	address string
	token   string
}

func (t *target) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "Base URL of an entry.").Envar(settings.Prefix + "ADDRESS").
		Default("http://127.0.0.1:7000").StringVar(&t.address)
	cmd.Flag("token", "Bearer token; make one with 'chestnutsail token'.").Envar(settings.Prefix + "TOKEN").
		StringVar(&t.token)
}

func (t *target) client() *client.Client {
	return client.New(client.Options{Address: t.address, Token: t.token})
}

type applyCommand struct {
	target target
	file   string
	base   int64
}

func (*applyCommand) name() string { return "apply" }

func (c *applyCommand) bind(app *kingpin.Application) {
	cmd := app.Command("apply", "Replace the cluster text.")
	c.target.bind(cmd)
	cmd.Flag("base", "Revision that the text was made from; the one in force if negative.").Default("-1").Int64Var(&c.base)
	cmd.Arg("file", "File of the text.").Required().ExistingFileVar(&c.file)
}

func (c *applyCommand) run() int {
	raw, err := os.ReadFile(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	ctx := context.Background()
	cl := c.target.client()
	base := uint64(max(c.base, 0))
	if c.base < 0 {
		if _, base, err = cl.Text(ctx); err != nil {
			return fail(exitFailed, err)
		}
	}
	revision, err := cl.Apply(ctx, base, raw)
	var e *client.Error
	switch {
	case err == nil:
		fmt.Printf("revision %d\n", revision)
		return exitOK
	case errors.As(err, &e) && e.Status == http.StatusPreconditionFailed:
		return fail(exitConflict, err)
	case errors.As(err, &e) && e.Status == http.StatusBadRequest:
		return fail(exitBadInput, err)
	case errors.As(err, &e) && e.Status == http.StatusServiceUnavailable:
		return fail(exitRefused, err)
	default:
		return fail(exitUnknown, err)
	}
}

type submitCommand struct {
	target  target
	request client.Request
	payload string
}

func (*submitCommand) name() string { return "submit" }

func (c *submitCommand) bind(app *kingpin.Application) {
	cmd := app.Command("submit", "Submit a request and print its outcome.")
	c.target.bind(cmd)
	cmd.Flag("payload", "Payload of the request.").StringVar(&c.payload)
	cmd.Flag("deadline", "Time to wait for the answer, in milliseconds.").Int64Var((*int64)(&c.request.Deadline))
	cmd.Arg("service", "Service to call.").Required().StringVar(&c.request.Service)
	cmd.Arg("key", "Key of the request; the same key is the same request.").Required().StringVar(&c.request.Key)
}

func (c *submitCommand) run() int {
	c.request.Payload = []byte(c.payload)
	o, err := c.target.client().Submit(context.Background(), c.request)
	if err != nil {
		return fail(exitUnknown, err)
	}
	return show(o)
}

// show prints an outcome and returns the exit code that goes with it.
func show(o outcome.Outcome) int {
	enc := json.NewEncoder(os.Stdout)
	if err := enc.Encode(o); err != nil {
		return fail(exitFailed, err)
	}
	switch o.Kind {
	case outcome.Done, outcome.Accepted:
		return exitOK
	case outcome.NotRun:
		return exitRefused
	case outcome.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

type tokenCommand struct {
	secret  string
	role    string
	account string
}

func (*tokenCommand) name() string { return "token" }

func (c *tokenCommand) bind(app *kingpin.Application) {
	cmd := app.Command("token", "Print a bearer token.")
	cmd.Flag("secret", "Secret that signs the token.").Envar(settings.Prefix + "SECRET").Required().StringVar(&c.secret)
	cmd.Arg("role", "Role of the bearer.").Required().EnumVar(&c.role, string(token.Caller), string(token.Operator))
	cmd.Arg("account", "Account of a caller, or name of an operator.").Required().StringVar(&c.account)
}

func (c *tokenCommand) run() int {
	fmt.Println(token.New(c.secret).Mint(token.Role(c.role), c.account))
	return exitOK
}
