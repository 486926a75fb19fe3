// Package platform talks to the platform: its transactional table, its object
// store and its list of VMs.
//
// Everything that must outlive a VM goes through this package. The table takes
// several hundred writes a second, so callers group their decisions into few
// transactions; package committer does that.
//
// A write can take effect although its answer is lost. Commit therefore sends
// the same transaction again under the same identifier; the conflict that it
// then meets shows who wrote the guard row. The guard is the first row put; its
// value must hold the transaction's identifier in the field "txn".
//
// # Usage
//
//	client := platform.NewClient("127.0.0.1:7000", platform.Options{})
//	verdict, err := client.Commit(ctx, platform.Txn{...})
//	switch result.CodeOf(err) {
//	case result.OK: // verdict.Committed tells
//	case result.WriteUnknown: // may still take effect: fence before going on
//	}
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/zeebo/errs"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

const (
	defaultCallTimeout = 1 * clock.Second
	firstRetryWait     = 20 * clock.Millisecond
	longestRetryWait   = 500 * clock.Millisecond
	maxAnswerBytes     = 64 << 20
)

// Options adjust a Client. The zero value is usable.
type Options struct {
	// CallTimeout bounds one call; 0 means one second.
	CallTimeout clock.Span
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout clock.Span
	http    *http.Client
	aborted atomic.Bool
}

// NewClient returns a Client of the platform at address (IP number and port).
func NewClient(address string, opts Options) *Client {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	return &Client{
		base:    "http://" + address,
		timeout: opts.CallTimeout,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     30 * time.Second,
			},
		},
	}
}

// Abort has every later call fail, as if this process were dead.
func (c *Client) Abort() { c.aborted.Store(true) }

// Read returns the rows that match the query.
func (c *Client) Read(ctx context.Context, query Query) ([]Row, error) {
	var rows Rows
	if err := c.call(ctx, http.MethodPost, "/table/read", query, &rows); err != nil {
		return nil, err
	}
	return rows.Rows, nil
}

// ReadAll returns every row below prefix, page by page.
func (c *Client) ReadAll(ctx context.Context, prefix string) ([]Row, error) {
	const page = 1000
	var all []Row
	after := ""
	for {
		rows, err := c.Read(ctx, Query{
			Prefix: prefix,
			After:  after,
			Limit:  page,
		})
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Get returns one row; an absent row has version 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	rows, err := c.Read(ctx, Query{
		Keys: []string{key},
	})
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 {
		return Row{Key: key}, nil
	}
	return rows[0], nil
}

// Commit carries out txn and resolves lost answers until ctx ends. The first
// put is the guard: its row must be among the checks, and its value must carry
// txn.ID in the field "txn". A transaction of deletes alone has no guard: its
// caller takes a conflict with an absent row as done. The error has code
// WriteUnknown if the outcome could not be learnt in time.
func (c *Client) Commit(ctx context.Context, txn Txn) (Verdict, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRetryWait.Duration()
	wait.MaxInterval = longestRetryWait.Duration()
	wait.MaxElapsedTime = 0
	wait.Reset()
	for {
		var verdict Verdict
		err := c.call(ctx, http.MethodPost, "/table/commit", txn, &verdict)
		if err == nil {
			return readBack(txn, verdict), nil
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return Verdict{}, result.New(result.WriteUnknown, "transaction %s: %v", txn.ID, err)
		}
	}
}

// readBack tells a real conflict from one that an earlier try of the same
// transaction caused: then the guard row carries its identifier.
func readBack(txn Txn, verdict Verdict) Verdict {
	if len(txn.Puts) == 0 {
		return verdict
	}
	for _, row := range verdict.Conflicts {
		if row.Key == txn.Puts[0].Key && WriterOf(row) == txn.ID {
			return Verdict{
				Committed: true,
				Version:   row.Version,
			}
		}
	}
	return verdict
}

// WriterOf returns the identifier of the transaction that last wrote a guard
// row, or "" if its value carries none.
func WriterOf(row Row) string {
	var stamp struct {
		Txn string `json:"txn"`
	}
	if json.Unmarshal(row.Value, &stamp) != nil {
		return ""
	}
	return stamp.Txn
}

// PutObject stores data under name. Objects are written once, under names that
// are never used again, so a lost answer is resolved by sending it again.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data)
	return err
}

// GetObject returns the object under name.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.exchange(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
}

// DeleteObject removes the object under name; an absent one is no error.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.exchange(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil)
	return err
}

// Fleet returns the platform's list of VMs and its tag. If the list still has
// the tag known, it returns ok false and no list.
func (c *Client) Fleet(ctx context.Context, known string) (fleet Fleet, tag string, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms", nil)
	if err != nil {
		return Fleet{}, "", false, Error.Wrap(err)
	}
	if known != "" {
		req.Header.Set("If-None-Match", known)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Fleet{}, "", false, result.New(result.PlatformDown, "GET /vms: %v", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return Fleet{}, known, false, nil
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&fleet)
		return fleet, resp.Header.Get("ETag"), err == nil, Error.Wrap(err)
	}
	return Fleet{}, "", false, result.New(result.PlatformDown, "GET /vms: status %d", resp.StatusCode)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return Error.Wrap(err)
		}
		body = encoded
	}
	answer, err := c.exchange(ctx, method, path, body)
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(answer, out))
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if c.aborted.Load() {
		return nil, result.New(result.PlatformDown, "aborted")
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.New(result.PlatformDown, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, result.New(result.PlatformDown, "%s %s: %v", method, path, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, result.New(result.PlatformDown, "%s %s: status %d", method, path, resp.StatusCode)
	}
	return answer, nil
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
