// Package client calls the operators' door of an entry VM.
//
// Any entry VM will do; the client tries its addresses in turn until one
// answers. Faults come back as *result.Fault with their numbered code.
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
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls entry VMs. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a Client of the entry VMs at the addresses.
func New(addresses []string) *Client {
	return &Client{
		addresses: addresses,
		http: &http.Client{
			Timeout: callTimeout,
		},
	}
}

// problem is the body of an answer that reports a fault.
type problem struct {
	Code   int    `json:"code"`
	Detail string `json:"detail"`
}

// Get reads the resource at path into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	_, err := c.call(ctx, http.MethodGet, path, nil, out)
	return err
}

// Post sends in to path and reads the answer into out. Pending reports that a
// change is recorded but not in force everywhere.
func (c *Client) Post(ctx context.Context, path string, in, out any) (pending bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return false, result.New(result.Internal, "%v", err)
	}
	status, err := c.call(ctx, http.MethodPost, path, body, out)
	return status == http.StatusAccepted, err
}

// call tries the addresses in turn. A request that may have been taken is not
// sent to another.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	err := error(result.New(result.BadSettings, "no entry VM is named"))
	for _, address := range c.addresses {
		var status int
		var sent bool
		status, sent, err = c.once(ctx, method, "http://"+address+path, body, out)
		if err == nil || sent {
			return status, err
		}
	}
	return 0, err
}

func (c *Client) once(ctx context.Context, method, url string, body []byte, out any) (status int, sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, false, result.New(result.BadSettings, "%v", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, method != http.MethodGet && !refused(err), result.New(result.PeerUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return resp.StatusCode, true, result.New(result.AnswerIncomplete, "%v", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, true, faultOf(resp.StatusCode, data)
	}
	if out == nil {
		return resp.StatusCode, true, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, true, result.New(result.Internal, "answer cannot be read: %v", err)
	}
	return resp.StatusCode, true, nil
}

func faultOf(status int, data []byte) error {
	var p problem
	if json.Unmarshal(data, &p) != nil || p.Code == 0 {
		return result.New(result.Internal, "status %d: %s", status, bytes.TrimSpace(data))
	}
	return result.New(result.Code(p.Code), "%s", p.Detail)
}

// refused reports whether the connection was never made.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
