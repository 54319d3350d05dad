// Command submit submits one request, asks again when the answer is lost, and
// prints the answer. It needs CHESTNUTSAIL_ADDRESS and CHESTNUTSAIL_TOKEN.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
)

func main() {
	if err := submit(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func submit() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := client.New(client.Options{Address: os.Getenv("CHESTNUTSAIL_ADDRESS"), Token: os.Getenv("CHESTNUTSAIL_TOKEN")})
	r := client.Request{Service: "refund", Key: "example-1", Payload: []byte(`{"echo":"paid"}`)}

	o, err := c.Submit(ctx, r)
	if err != nil {
		// The answer is lost, not the request: the same key never runs it twice.
		o, err = c.Submit(ctx, r)
	}
	if err == nil && !o.Final() {
		o, err = c.Wait(ctx, r.Key, nil)
	}
	if err != nil {
		return err
	}
	if o.Kind == outcome.NotRun {
		fmt.Println("it did not run:", o.Reason, o.Detail)
		return nil
	}
	fmt.Println(o.Kind, string(o.Body))
	return nil
}
