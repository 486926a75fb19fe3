// Package client is a client of the operators' HTTP API of the entry VMs.
//
// Every entry VM serves the same API. The client tries its addresses in order
// until one responds. Errors are of type *result.Fault.
//
// # Usage
//
//	c := client.New([]string{"127.0.0.1:7020"})
//	var status json.RawMessage
//	err := c.Get(ctx, "/v1/status", &status)
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"marjoramstack/pkg/result"
)

const (
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the operators' API of the entry VMs. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a Client that uses the entry VMs with the given operator
// addresses (host and port).
func New(addresses []string) *Client {
	return &Client{
		addresses: addresses,
		http: &http.Client{
			Timeout: callTimeout,
		},
	}
}

// problem is the body of an error response.
type problem struct {
	Code   int    `json:"code"`
	Detail string `json:"detail"`
}

// Get sends a GET request to path and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, out)
	return err
}

// Post sends in to path and decodes the response into out. It returns pending
// if a change is stored but not yet in force everywhere.
func (c *Client) Post(ctx context.Context, path string, in, out any) (pending bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return false, result.New(result.Internal, "%v", err)
	}
	status, err := c.call(ctx, http.MethodPost, path, body, out)
	return status == http.StatusAccepted, err
}

// call tries the addresses in order. A request that an entry VM may have
// processed is not sent to another one.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	err := error(result.New(result.BadSettings, "no address of an entry VM is given"))
	for _, address := range c.addresses {
		var status int
		var final bool
		status, final, err = c.send(ctx, method, "http://"+address+path, body, out)
		if err == nil || final {
			return status, err
		}
	}
	return 0, err
}

// send sends one request. It returns final if the request must not be sent to
// another address.
func (c *Client) send(ctx context.Context, method, url string, body []byte, out any) (status int, final bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, false, result.New(result.BadSettings, "%v", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, method != http.MethodGet && !connectionRefused(err), result.New(result.PeerUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, true, result.New(result.AnswerIncomplete, "%v", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, true, decodeFault(resp.StatusCode, data)
	}
	if out == nil {
		return resp.StatusCode, true, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, true, result.New(result.Internal, "decoding the response: %v", err)
	}
	return resp.StatusCode, true, nil
}

func decodeFault(status int, data []byte) error {
	var p problem
	if json.Unmarshal(data, &p) != nil || p.Code == 0 {
		return result.New(result.Internal, "status %d: %s", status, bytes.TrimSpace(data))
	}
	return result.New(result.Code(p.Code), "%s", p.Detail)
}

// connectionRefused reports whether no connection was made, so the request
// cannot have been sent.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
