// Command submit submits one request, submits it again if the answer is lost, and prints the
// outcome. The environment variables CHESTNUTSAIL_ADDRESS and CHESTNUTSAIL_TOKEN have to be
// set to the base URL of an entry and a caller's token.
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
		// The request may have run although no answer arrived. Submitting it again is safe,
		// because the system never runs a request twice under the same key.
		o, err = c.Submit(ctx, r)
	}
	if err == nil && !o.Final() {
		o, err = c.Wait(ctx, r.Key, nil)
	}
	if err != nil {
		return err
	}
	if o.Kind == outcome.NotRun {
		fmt.Println("the request did not run:", o.Reason, o.Detail)
		return nil
	}
	fmt.Println(o.Kind, string(o.Body))
	return nil
}
