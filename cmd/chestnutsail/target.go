package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/settings"
)

// target is the entry that a command calls, and the bearer token of the calls.
type target struct {
	address string
	token   string
}

func (t *target) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "Base URL of an entry.").Envar(settings.Variable("address")).
		Default("http://127.0.0.1:7000").StringVar(&t.address)
	cmd.Flag("token", "Bearer token; make one with 'chestnutsail token'.").Envar(settings.Variable("token")).
		StringVar(&t.token)
}

func (t *target) client() *client.Client {
	return client.New(client.Options{Address: t.address, Token: t.token})
}

// interruptible returns a context that ends when the process receives an interrupt or
// termination signal.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
