// Package worker talks to the workers, which run the tasks of a cell under
// leases.
//
// One exchange carries everything in both directions: starts, renewals,
// commands and acknowledgements out; the state of every attempt, late
// measurements and a reading of the worker's clock back. A worker obeys only
// the highest epoch it has seen for a cell. Leases and start windows are given
// in readings of the worker's own clock, learnt from its last answer, so a
// message that was held up anywhere cannot extend a lease or start a task late.
//
// # Usage
//
//	client := worker.NewClient()
//	answer, err := client.Exchange(ctx, "127.0.0.1:7100", worker.Request{...})
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/pkg/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("worker")

const (
	callTimeout    = 1 * clock.Second
	maxAnswerBytes = 16 << 20
)

// Client calls workers over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     30 * time.Second,
			},
		},
	}
}

// Exchange sends one request to the worker at address and returns its answer.
// After an error the request may still take effect.
func (c *Client) Exchange(ctx context.Context, address string, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/exchange", bytes.NewReader(body))
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	var answer Answer
	if resp.StatusCode != http.StatusOK {
		return Answer{}, Error.New("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
	return answer, Error.Wrap(err)
}
