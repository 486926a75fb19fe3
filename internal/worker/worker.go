// Package worker is a client of the workers, which run the tasks of a cell under
// leases.
//
// One exchange carries all data in both directions. The request contains starts,
// renewals, commands and acknowledgements. The answer contains the state of every
// attempt, delayed measurements and the time on the worker's clock. The epoch is
// a fencing token: a worker obeys only the highest epoch that it has seen for a
// cell. Lease expiries and start deadlines are times on the worker's clock, which
// its last answer gave. So a delayed message cannot extend a lease or start a task
// too late.
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

// Client sends requests to workers over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that keeps at most one idle connection per worker.
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

// Exchange sends one request to the worker at address (IP address and port) and
// returns its answer. It times out after 1 second. If it returns an error, the
// request may still take effect.
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
