package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host    = "nony24.example"
	service = "huvo11a"
	prefix  = "/lohu930/"
	// advisedPrefix is that of a route with advice.
	advisedPrefix = "/pufi791/"
	clientWait    = 3 * time.Second // what clients say in Deadline-Ms
	retryPause    = 300 * time.Millisecond
	clientTries   = 5 // the first and the four retries of the deployments' clients
	jobIDPattern  = "%016x"
)

type jobStep struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMb        int    `json:"memMb,omitempty"`
	EstimateMs   int64  `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int64  `json:"targetMs,omitempty"`
	MaxPerWorker int    `json:"antiAffinity,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
}

type jobBody struct {
	Spec      string    `json:"spec"`
	Steps     []jobStep `json:"steps"`
	Times     int       `json:"times,omitempty"`
	StartAtMs int64     `json:"startAtMs,omitempty"`
	PeriodMs  int64     `json:"periodMs,omitempty"`
}

// job is a job as a client hands it in.
type job struct {
	id       string
	prefix   string
	body     jobBody
	accepted time.Time // zero until a 2xx answer
}

func newJob(work workSpec, steps ...jobStep) *job {
	return &job{id: fmt.Sprintf(jobIDPattern, rand.Uint64()), prefix: prefix, body: jobBody{Spec: string(encode(work)), Steps: steps}}
}

type client struct {
	record *record
	http   *http.Client
}

func newClient(rec *record) *client {
	return &client{record: rec, http: &http.Client{Timeout: clientWait, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// submit hands a job in at one VM after the other until one accepts it.
func (c *client) submit(vms []*vm, j *job) bool {
	for try := range clientTries {
		v := vms[try%len(vms)]
		status, _ := c.call(http.MethodPost, v, j, encode(j.body))
		c.record.add("client POST %s at %s: %d", j.id, v.name, status)
		if status >= 200 && status < 300 {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// state asks one VM after the other for the state of a job.
func (c *client) state(vms []*vm, j *job) string {
	for _, v := range vms {
		status, body := c.call(http.MethodGet, v, j, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			c.record.add("client GET %s at %s: 200 %s", j.id, v.name, answer.State)
			return answer.State
		}
		c.record.add("client GET %s at %s: %d", j.id, v.name, status)
	}
	return ""
}

// call returns status 0 if there is no answer.
func (c *client) call(method string, v *vm, j *job, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+v.front+j.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
