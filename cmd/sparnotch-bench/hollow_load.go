package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/schema"
)

const (
	hollowRequestTimeout = 8 * time.Second
	hollowRetryDelay     = 100 * time.Millisecond
	maxOpenSubmissions   = 256
	hollowClients        = 16 // number of client names, one of which each request carries
)

// jobSpec is the body of a request to submit a job.
type jobSpec struct {
	Text  string     `json:"text"`
	Steps []stepSpec `json:"steps"`
}

type stepSpec struct {
	Name       string `json:"name"`
	Tasks      int    `json:"tasks"`
	CoresMilli int    `json:"cores_milli"`
	MemoryMb   int    `json:"memory_mb"`
	Together   bool   `json:"together,omitempty"`
}

// send sends one request to a random gateway node. It returns the HTTP status, or 0 when
// there was no answer, and the body of the answer.
func (p *hollowProcess) send(ctx context.Context, client *http.Client, method, path string, body []byte) (int, []byte) {
	address := p.config.address(p.config.gatewayHost(rand.IntN(1<<30)), httpPort)
	ctx, cancel := context.WithTimeout(ctx, hollowRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Sparnotch-Client", "c"+strconv.Itoa(rand.IntN(hollowClients)))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, data
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

// submitJobs submits jobs of one step with Width tasks until the context ends. The arrivals
// are a Poisson process, whose rate results in StartsPerSecond task starts.
func (p *hollowProcess) submitJobs(ctx context.Context) {
	if p.config.StartsPerSecond <= 0 {
		return
	}
	client := newHTTPClient()
	openSlots := make(chan bool, maxOpenSubmissions)
	rng := rand.New(rand.NewPCG(7, 8))
	meanInterval := float64(p.config.Width) / p.config.StartsPerSecond * float64(time.Second)
	next := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * meanInterval))
		sleep(ctx, time.Until(next))
		select {
		case openSlots <- true:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-openSlots }()
			p.submitJob(ctx, client, number)
		}()
	}
}

// submitJob submits one job with retries until it is accepted or its rejection is final.
func (p *hollowProcess) submitJob(ctx context.Context, client *http.Client, number int) {
	submittedAt := time.Now()
	body, _ := json.Marshal(jobSpec{
		Text:  fmt.Sprintf("run_us=%d", p.config.RunUs),
		Steps: []stepSpec{{Name: "s", Tasks: p.config.Width, CoresMilli: 10, MemoryMb: 1, Together: p.config.Gang}},
	})
	path := fmt.Sprintf("/v1/queues/%s/jobs/h%d-%d", queueName(number%p.config.Queues), number, submittedAt.UnixMicro())
	for ctx.Err() == nil {
		code, _ := p.send(ctx, client, "PUT", path, body)
		if code == http.StatusOK || code == http.StatusCreated {
			p.accepted.Add(1)
			p.mu.Lock()
			recordMicros(p.confirmLatencies, time.Since(submittedAt).Microseconds())
			p.mu.Unlock()
			return
		}
		p.refused.Add(1)
		if code != 0 && code < 500 && code != http.StatusTooManyRequests && code != http.StatusNotFound {
			fmt.Fprintln(os.Stderr, "sparnotch-bench: a job was rejected with HTTP status", code)
			return
		}
		sleep(ctx, hollowRetryDelay)
	}
}

func queueName(k int) string { return fmt.Sprintf("l%03d", k) }

// rows returns the rows of the configuration after a number of changes: two rows of the
// fleet, one for each queue, as many racks as the minimum number of rows requires, and one
// row that differs from change to change.
func (c *hollowConfig) rows(change int) []*schema.ConfigurationRow {
	rows := []*schema.ConfigurationRow{{Kind: "fleet", Key: "live_jobs", Value: "1000000"}, {Kind: "fleet", Key: "window", Value: "65536"}}
	for k := range c.Queues {
		rows = append(rows, &schema.ConfigurationRow{Kind: "queue", Name: queueName(k), Key: "urgency", Value: "50"})
	}
	for k := len(rows); k < c.Rows; k++ {
		rows = append(rows, &schema.ConfigurationRow{Kind: "rack", Name: fmt.Sprintf("x%04d", k), Key: "weight", Value: "100"})
	}
	return append(rows, &schema.ConfigurationRow{Kind: "fleet", Key: "weight_rack", Value: strconv.Itoa(30 + change%10)})
}

// changeConfig applies the first configuration, and then changes it ChangesPerMinute times
// per minute until the context ends.
func (p *hollowProcess) changeConfig(ctx context.Context) {
	client := newHTTPClient()
	interval := time.Hour
	if p.config.ChangesPerMinute > 0 {
		interval = time.Duration(float64(time.Minute) / p.config.ChangesPerMinute)
	}
	for change := 0; ctx.Err() == nil; change++ {
		for ctx.Err() == nil && !p.applyConfig(ctx, client, change) {
			sleep(ctx, hollowRetryDelay)
		}
		sleep(ctx, interval)
	}
}

// applyConfig replaces the current configuration by the one after a number of changes. It
// reports whether that was accepted.
func (p *hollowProcess) applyConfig(ctx context.Context, client *http.Client, change int) bool {
	code, data := p.send(ctx, client, "GET", configPath, nil)
	current := &schema.Configuration{}
	if code != http.StatusOK || protojson.Unmarshal(data, current) != nil {
		return false
	}
	body, _ := json.Marshal(configUpdate{Generation: current.Revision, Rows: p.config.rows(change)})
	sentAt := time.Now().UnixMicro()
	if code, _ = p.send(ctx, client, "PUT", configPath, body); code != http.StatusOK {
		return false
	}
	p.mu.Lock()
	p.configApplied[current.Revision+1] = sentAt
	p.mu.Unlock()
	return true
}
