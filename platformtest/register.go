package platformtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/chestnutsail/chestnutsail/platform"
)

// Register lists an instance in a role with the stand-in at the base URL store.
func Register(ctx context.Context, store, role string, row platform.Instance) error {
	host, port, err := net.SplitHostPort(row.Address)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	body, err := json.Marshal(service{ID: row.Name, Name: role, Address: host, Port: number, Meta: row.Meta()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, store+"/v1/agent/service/register", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("platformtest: register %s: %s", row.Name, resp.Status)
	}
	return nil
}
