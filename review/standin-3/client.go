package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	host        = "nony24.example"
	deadline    = 3 * time.Second // of a client's attempt
	maxAttempts = 4               // a client's retries
)

// Step and Job are what clients hand in.
type Step struct {
	Count    int    `json:"count"`
	Cpu      int    `json:"cpu"`
	MemMb    int    `json:"memMb"`
	Estimate int    `json:"estimateMs,omitempty"`
	After    []int  `json:"after,omitempty"`
	Label    string `json:"constraints,omitempty"`
	PerHost  int    `json:"antiAffinity,omitempty"`
	Lasts    bool   `json:"longRunning,omitempty"`
	Image    string `json:"image,omitempty"`
	TargetMs int    `json:"targetMs,omitempty"`
	Fills    bool   `json:"fills,omitempty"`
}

// Job is the body of a POST.
type Job struct {
	Spec     string `json:"spec"`
	Steps    []Step `json:"steps"`
	Times    int    `json:"times,omitempty"`
	StartAt  int64  `json:"startAtMs,omitempty"`
	PeriodMs int64  `json:"periodMs,omitempty"`
}

// Client calls the VMs in turn, as a client behind the platform's address does.
type Client struct {
	record *Record
	vms    []*VM
	http   http.Client
	next   int
}

// call makes one attempt. It returns status 0 if there was no answer in time.
func (c *Client) call(vm *VM, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// Ask makes attempts at one VM after the other until one is answered with a status that is
// not a refusal.
func (c *Client) Ask(method, path string, body []byte) (int, []byte) {
	status := 0
	var answer []byte
	for range maxAttempts {
		vm := c.vms[c.next%len(c.vms)]
		c.next++
		status, answer = c.call(vm, method, path, body)
		c.record.Line("client: %s %s at %s: %d %.80s", method, path, vm.Name, status, answer)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, answer
}

// Submit hands a job in and reports whether it was accepted.
func (c *Client) Submit(prefix, id string, job Job) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	c.record.Line("client: job %s: %.160s", id, body)
	status, _ := c.Ask(http.MethodPost, prefix+id, body)
	return status/100 == 2
}

// State returns the state of a job, "" if it is not told.
func (c *Client) State(prefix, id string) string {
	status, answer := c.Ask(http.MethodGet, prefix+id, nil)
	var state struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &state) != nil {
		return ""
	}
	return state.State
}
