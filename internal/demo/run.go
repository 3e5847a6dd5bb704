package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	requestsPerSecond = 60.0
	recordsPerSecond  = 20.0
	// minTokens and tokenSpread determine the length of the requested responses:
	// from minTokens to minTokens+tokenSpread-1 tokens.
	minTokens    = 12
	tokenSpread  = 30
	promptCount  = 40
	startTimeout = 30 * time.Second
)

// The times of the faults, as fractions of the run's duration.
const (
	zoneOutAt    = 0.20
	turnColdAt   = 0.35
	zoneInAt     = 0.55
	killMemberAt = 0.65
)

// Demo is one run of the demo.
type Demo struct {
	fleet    *fleet.Fleet
	duration time.Duration
	log      io.Writer
	summary  *load.Summary
	clients  map[string]*http.Client

	mu      sync.Mutex
	result  Result
	records map[string]load.Response
}

// Run starts the fleet on the network, runs the load, injects the faults, and
// returns the result. It writes a line per fault and per failed request to log.
func Run(ctx context.Context, plan fleet.Plan, network *standin.Network, duration time.Duration, log io.Writer) (Result, error) {
	f, err := fleet.Start(ctx, plan, network, log)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.WaitGroupsOpen(startCtx); err != nil {
		return Result{}, err
	}
	d := &Demo{
		fleet: f, duration: duration, log: log, summary: load.NewSummary(),
		clients: make(map[string]*http.Client), records: make(map[string]load.Response),
	}
	for _, zone := range plan.Zones {
		d.clients[zone] = f.Client(zone)
	}
	err = d.drive(ctx)
	for _, client := range d.clients {
		client.CloseIdleConnections()
	}
	return d.finish(), err
}

// drive runs the load and the faults concurrently.
func (d *Demo) drive(ctx context.Context) error {
	var wg sync.WaitGroup
	var faultErr error
	wg.Go(func() { load.OpenLoop(ctx, requestsPerSecond, d.duration, func(n int) { d.request(ctx, n) }) })
	wg.Go(func() { load.OpenLoop(ctx, recordsPerSecond, d.duration, func(n int) { d.record(ctx, n) }) })
	wg.Go(func() { faultErr = d.faults(ctx) })
	wg.Wait()
	return faultErr
}

// faults takes a zone out of service and back, turns a group cold, and kills a
// member of a group.
func (d *Demo) faults(ctx context.Context) error {
	begin := time.Now()
	zone := d.fleet.Plan.Zones[1]
	operatorAt := d.fleet.Entries()[0]
	for _, step := range []struct {
		at      float64
		apply   func() error
		message string
	}{
		{zoneOutAt, func() error { return d.fleet.SetZoneOut(ctx, operatorAt, zone, true, "demo") }, "zone " + zone + " is out of service"},
		{turnColdAt, d.turnCold, "a replica group turns cold without a preceding load"},
		{zoneInAt, func() error { return d.fleet.SetZoneOut(ctx, operatorAt, zone, false, "demo") }, "zone " + zone + " is back in service"},
		{killMemberAt, d.killMember, "a member of a replica group crashes"},
	} {
		due := begin.Add(time.Duration(step.at * float64(d.duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if err := step.apply(); err != nil {
			return err
		}
		fmt.Fprintf(d.log, "%5.1f s: %s\n", time.Since(begin).Seconds(), step.message)
	}
	return nil
}

// member returns an engine in the first zone that has the rank in its group, nil
// if there is none.
func (d *Demo) member(rank int) *fleet.Instance {
	for _, i := range d.fleet.Engines() {
		if i.Zone == d.fleet.Plan.Zones[0] && i.Engine.Rank() == rank {
			return i
		}
	}
	return nil
}

func (d *Demo) turnCold() error {
	if i := d.member(0); i != nil {
		i.Engine.TurnCold()
	}
	return nil
}

func (d *Demo) killMember() error {
	if i := d.member(1); i != nil {
		i.Engine.SetFaults(standin.EngineFaults{Dead: true})
		d.fleet.Unlist(i.Name)
	}
	return nil
}

// target returns a caller and the base URL of the entry for call number n. Calls
// rotate over the entries and organisations.
func (d *Demo) target(n int) (*load.Caller, string) {
	entries := d.fleet.Entries()
	m := entries[n%len(entries)]
	return load.NewCaller(d.clients[m.Zone], fleet.Key(n%d.fleet.Plan.Organisations)), "http://" + m.CallerAddress
}

func (d *Demo) request(ctx context.Context, n int) {
	caller, base := d.target(n)
	prompt := fmt.Sprintf("Bay %d: write the handover note for the yard crew.", n%promptCount)
	tokens := minTokens + n%tokenSpread
	response := caller.Generate(ctx, base, load.Request{Model: fleet.ModelName, Prompt: prompt, MaxTokens: tokens})
	d.summary.Add(response)
	if response.Complete && response.Text != standin.ExpectedResponse(prompt, tokens) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.result.WrongResponses++
	}
	if response.Err != nil {
		fmt.Fprintf(d.log, "request %d: %v\n", n, response.Err)
	}
}

func (d *Demo) record(ctx context.Context, n int) {
	caller, base := d.target(n)
	id := fmt.Sprintf("trolley-%d", n)
	response := caller.Record(ctx, base, fleet.ServiceName, standin.RecordHeader, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[id] = response
}

// finish compares the responses of record calls with the calls that ran, and
// returns the result.
func (d *Demo) finish() Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.result
	r.Requests, r.CompleteResponses, r.RejectedNotRun, r.Failed, _ = d.summary.Counts()
	r.FirstTokenP95 = d.summary.FirstToken().P95
	r.BetweenTokensP95 = d.summary.BetweenTokens().P95
	r.Records = len(d.records)
	for id, response := range d.records {
		d.checkRecord(d.fleet.Records.Count(id), response)
	}
	counts := d.fleet.Counts()
	r.ColdLimitExceeded = counts.ColdLimitExceeded
	r.SentToIncompleteGroup = counts.SentToIncompleteGroup
	r.SentToZoneOut = counts.SentToZoneOut
	return *r
}

// checkRecord counts a record by outcome. ran is how often its call ran.
func (d *Demo) checkRecord(ran int, response load.Response) {
	r := &d.result
	if ran > 1 {
		r.RanTwice++
	}
	switch {
	case response.Complete && ran == 0:
		r.LostRecords++
	case response.Run == caller.NotRun && ran > 0:
		r.FalseNotRun++
	case response.Run == caller.MayHaveRun:
		r.UnknownRecords++
	}
}
