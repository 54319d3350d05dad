package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Text returns the cluster text in force at the entry and its revision.
func (c *Client) Text(ctx context.Context) (raw []byte, revision uint64, err error) {
	resp, err := c.do(ctx, http.MethodGet, "/v1/text", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, 0, responseError(resp)
	}
	revision, err = strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, 0, err
	}
	raw, err = io.ReadAll(resp.Body)
	return raw, revision, err
}

// Apply replaces the cluster text and returns the new revision. Base is the revision that
// raw was made from. If another revision is in force, Apply returns an *Error with status
// 412 that contains the text in force.
func (c *Client) Apply(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	resp, err := c.do(ctx, http.MethodPut, "/v1/text", raw, header)
	if err != nil {
		return 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, responseError(resp)
	}
	var out struct {
		Revision uint64 `json:"revision"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Revision, err
}
