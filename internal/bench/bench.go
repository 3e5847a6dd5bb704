// Package bench drives an open-loop load at one entry and measures what a
// caller sees.
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
	drainTime    = time.Minute
)

// Plan describes a load.
type Plan struct {
	// URL is an entry's caller listener.
	URL string
	Key string
	// Model and Rate describe the model requests, per second.
	Model string
	Rate  float64
	// PromptWords and MaxTokens are the requests' sizes; Prompts is how many
	// different ones there are.
	PromptWords int
	MaxTokens   int
	Prompts     int
	// Service and RecordRate describe calls that are not idempotent.
	Service      string
	RecordRate   float64
	RecordHeader string
	Duration     time.Duration
}

// Result is what callers saw.
type Result struct {
	Plan      Plan
	Elapsed   time.Duration
	Generated *load.Summary
	Recorded  *load.Summary
}

// Run drives the load. Progress is called about once a second.
func Run(ctx context.Context, p Plan, progress func(done time.Duration, r Result)) Result {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	r := Result{Plan: p, Generated: load.NewSummary(), Recorded: load.NewSummary()}
	begin := time.Now()
	stop := report(begin, r, progress)
	defer stop()
	callCtx, cancel := context.WithTimeout(ctx, p.Duration+drainTime)
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

// report calls progress about once a second until the returned function runs.
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
