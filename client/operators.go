package client

import (
	"context"
	"io"
	"net/http"
)

// Trace copies the scheduler's trace of a failure domain to w, one JSON step a line.
func (c *Client) Trace(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/v1/trace", nil, nil)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return problem(resp)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}
