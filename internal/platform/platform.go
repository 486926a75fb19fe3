// Package platform is a client of the platform: its transactional table, its
// object store and its list of VMs.
//
// All state that must survive a VM is stored with this package. The table handles
// several hundred writes per second, so callers batch their decisions into few
// transactions.
//
// A write can take effect although its response is lost. Commit therefore resends
// the same transaction with the same identifier. If the transaction had taken
// effect, the retry gets a conflict, and the guard row shows that this transaction
// wrote it. The guard row is the first row put; its value must contain the
// transaction's identifier in the field "txn".
//
// # Usage
//
//	client := platform.NewClient("127.0.0.1:7000", platform.Options{})
//	verdict, err := client.Commit(ctx, platform.Txn{...})
//	switch result.CodeOf(err) {
//	case result.OK: // see verdict.Committed
//	case result.WriteUnknown: // may still take effect: fence it before continuing
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
	minRetryDelay      = 20 * clock.Millisecond
	maxRetryDelay      = 500 * clock.Millisecond
	maxAnswerBytes     = 64 << 20
)

// Options configure a Client. The zero value is usable.
type Options struct {
	// CallTimeout is the timeout of one HTTP request. The default is 1 second.
	CallTimeout clock.Span
}

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout clock.Span
	http    *http.Client
	aborted atomic.Bool
}

// NewClient returns a Client of the platform at address (IP address and port).
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

// Abort makes all later table and object calls fail. It simulates the death of this
// process.
func (c *Client) Abort() { c.aborted.Store(true) }

// Read returns the rows that match the query.
func (c *Client) Read(ctx context.Context, query Query) ([]Row, error) {
	var rows Rows
	if err := c.call(ctx, http.MethodPost, "/table/read", query, &rows); err != nil {
		return nil, err
	}
	return rows.Rows, nil
}

// ReadAll returns all rows whose key has the prefix. It reads them in pages of 1000
// rows.
func (c *Client) ReadAll(ctx context.Context, prefix string) ([]Row, error) {
	const pageSize = 1000
	var all []Row
	after := ""
	for {
		rows, err := c.Read(ctx, Query{
			Prefix: prefix,
			After:  after,
			Limit:  pageSize,
		})
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageSize {
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

// Commit executes txn. If a call fails, the transaction may still have taken effect,
// so Commit resends it, with exponential backoff from 20 to 500 ms, until it gets a
// response or ctx is done. If ctx is done before the outcome is known, the error
// has code WriteUnknown.
//
// The first row put is the guard: the checks must include its row, and its value
// must contain txn.ID in the field "txn". A transaction that only deletes has no
// guard: its caller must treat a conflict with an absent row as success.
func (c *Client) Commit(ctx context.Context, txn Txn) (Verdict, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay.Duration()
	retry.MaxInterval = maxRetryDelay.Duration()
	retry.MaxElapsedTime = 0
	retry.Reset()
	for {
		var verdict Verdict
		err := c.call(ctx, http.MethodPost, "/table/commit", txn, &verdict)
		if err == nil {
			return resolveConflict(txn, verdict), nil
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return Verdict{}, result.New(result.WriteUnknown, "transaction %s: %v", txn.ID, err)
		}
	}
}

// resolveConflict distinguishes a real conflict from one that an earlier attempt of
// the same transaction caused. In the second case the guard row contains the
// transaction's identifier, and the transaction has been committed.
func resolveConflict(txn Txn, verdict Verdict) Verdict {
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
// row, or "" if the value of the row has none.
func WriterOf(row Row) string {
	var guard struct {
		Txn string `json:"txn"`
	}
	if json.Unmarshal(row.Value, &guard) != nil {
		return ""
	}
	return guard.Txn
}

// PutObject stores an object. Object names are never reused, so PutObject is
// idempotent and can be repeated after an error.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data)
	return err
}

// GetObject returns the data of an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.exchange(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
}

// DeleteObject deletes an object. It is not an error if the object does not exist.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.exchange(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil)
	return err
}

// Fleet returns the platform's list of VMs and its entity tag. If the tag of the
// list is still known, it returns no list and ok is false.
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

// sleep waits and returns true, or returns false if ctx is done first.
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
