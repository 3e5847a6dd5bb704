// Package bench runs an open-loop load test against one entry and measures the
// responses on the caller's side.
package bench

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
)

const (
	maxIdleConns = 1024
	// drainTimeout bounds the wait for requests in flight at the end of the load.
	drainTimeout = time.Minute
)

// Plan describes a load test.
type Plan struct {
	// URL is the base URL of an entry's caller listener, Key a caller's key.
	URL string
	Key string
	// Model is the model to call, Rate the number of model requests per second.
	Model string
	Rate  float64
	// PromptWords and MaxTokens are the sizes of a request; Prompts is the number
	// of distinct prompts.
	PromptWords int
	MaxTokens   int
	Prompts     int
	// Service is the plain service to call, RecordRate the number of calls per
	// second, and RecordHeader the header for the record's ID. The calls are not
	// idempotent.
	Service      string
	RecordRate   float64
	RecordHeader string
	Duration     time.Duration
}

// Result holds the measurements on the callers' side.
type Result struct {
	Plan    Plan
	Elapsed time.Duration
	// Generated summarises the model requests, Recorded the calls of the plain
	// service.
	Generated *load.Summary
	Recorded  *load.Summary
}

// Run runs the load test. It calls progress about once a second.
func Run(ctx context.Context, p Plan, progress func(done time.Duration, r Result)) Result {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	r := Result{Plan: p, Generated: load.NewSummary(), Recorded: load.NewSummary()}
	begin := time.Now()
	stop := report(begin, r, progress)
	defer stop()
	callCtx, cancel := context.WithTimeout(ctx, p.Duration+drainTimeout)
	defer cancel()
	caller := load.NewCaller(client, p.Key)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.OpenLoop(ctx, p.RecordRate, p.Duration, func(n int) {
			id := fmt.Sprintf("bench-%d-%d", begin.UnixNano(), n)
			r.Recorded.Add(caller.Record(callCtx, p.URL, p.Service, p.RecordHeader, id))
		})
	}()
	load.OpenLoop(ctx, p.Rate, p.Duration, func(n int) {
		r.Generated.Add(caller.Generate(callCtx, p.URL, p.request(n)))
	})
	<-done
	r.Elapsed = time.Since(begin)
	return r
}

// request returns model request number n.
func (p Plan) request(n int) load.Request {
	topic := fmt.Sprintf("Topic %d: ", n%max(p.Prompts, 1))
	return load.Request{
		Model: p.Model, MaxTokens: p.MaxTokens,
		Prompt: topic + strings.Repeat("word ", p.PromptWords),
	}
}

// report calls progress about once a second until the returned function is called.
func report(begin time.Time, r Result, progress func(time.Duration, Result)) func() {
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				progress(time.Since(begin), r)
			}
		}
	}()
	return func() {
		close(done)
		<-finished
	}
}
