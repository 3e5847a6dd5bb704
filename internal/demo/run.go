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
	requestRate = 60.0
	recordRate  = 20.0
	// maxTokens bounds an answer's length.
	minTokens   = 12
	tokenSpread = 30
	prompts     = 40
	startLimit  = 30 * time.Second
)

// Parts of the duration at which the faults come.
const (
	zoneOutAt    = 0.20
	turnColdAt   = 0.35
	zoneInAt     = 0.55
	killMemberAt = 0.65
)

// Demo is one run.
type Demo struct {
	fleet    *fleet.Fleet
	duration time.Duration
	notes    io.Writer
	summary  *load.Summary
	clients  map[string]*http.Client

	mu      sync.Mutex
	result  Result
	records map[string]load.Response
}

// Run starts the fleet on the network, drives the load and the faults, and
// returns what was seen. Notes say what happens meanwhile.
func Run(ctx context.Context, plan fleet.Plan, network *standin.Network, duration time.Duration, notes io.Writer) (Result, error) {
	f, err := fleet.Start(ctx, plan, network, notes)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.WaitGroupsOpen(startCtx); err != nil {
		return Result{}, err
	}
	d := &Demo{
		fleet: f, duration: duration, notes: notes, summary: load.NewSummary(),
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

// drive runs the load and the faults side by side.
func (d *Demo) drive(ctx context.Context) error {
	var wg sync.WaitGroup
	var faultErr error
	wg.Go(func() { load.OpenLoop(ctx, requestRate, d.duration, func(n int) { d.request(ctx, n) }) })
	wg.Go(func() { load.OpenLoop(ctx, recordRate, d.duration, func(n int) { d.record(ctx, n) }) })
	wg.Go(func() { faultErr = d.faults(ctx) })
	wg.Wait()
	return faultErr
}

// faults takes a zone out and back, turns a group cold and kills a member.
func (d *Demo) faults(ctx context.Context) error {
	begin := time.Now()
	zone := d.fleet.Plan.Zones[1]
	operatorAt := d.fleet.Entries()[0]
	for _, step := range []struct {
		at  float64
		do  func() error
		say string
	}{
		{zoneOutAt, func() error { return d.fleet.SetZoneOut(ctx, operatorAt, zone, true, "demo") }, "zone " + zone + " is out"},
		{turnColdAt, d.turnCold, "a replica group turns cold without a warning"},
		{zoneInAt, func() error { return d.fleet.SetZoneOut(ctx, operatorAt, zone, false, "demo") }, "zone " + zone + " is back"},
		{killMemberAt, d.killMember, "a member of a replica group dies"},
	} {
		due := begin.Add(time.Duration(step.at * float64(d.duration)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if err := step.do(); err != nil {
			return err
		}
		fmt.Fprintf(d.notes, "%5.1f s: %s\n", time.Since(begin).Seconds(), step.say)
	}
	return nil
}

// member returns an engine of the first zone with the rank in its group.
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

// target returns the entry that call number n goes to.
func (d *Demo) target(n int) (*load.Caller, string) {
	entries := d.fleet.Entries()
	m := entries[n%len(entries)]
	return load.NewCaller(d.clients[m.Zone], fleet.Key(n%d.fleet.Plan.Organisations)), "http://" + m.CallerAddress
}

func (d *Demo) request(ctx context.Context, n int) {
	caller, base := d.target(n)
	prompt := fmt.Sprintf("Bay %d: write the handover note for the yard crew.", n%prompts)
	tokens := minTokens + n%tokenSpread
	answer := caller.Generate(ctx, base, load.Request{Model: fleet.ModelName, Prompt: prompt, MaxTokens: tokens})
	d.summary.Add(answer)
	if answer.Complete && answer.Text != standin.ExpectedResponse(prompt, tokens) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.result.WrongResponses++
	}
	if answer.Err != nil {
		fmt.Fprintf(d.notes, "request %d: %v\n", n, answer.Err)
	}
}

func (d *Demo) record(ctx context.Context, n int) {
	caller, base := d.target(n)
	id := fmt.Sprintf("trolley-%d", n)
	answer := caller.Record(ctx, base, fleet.ServiceName, standin.RecordHeader, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[id] = answer
}

// finish compares what callers were told with what ran.
func (d *Demo) finish() Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &d.result
	r.Requests, r.CompleteResponses, r.RejectedNotRun, r.Failed, _ = d.summary.Counts()
	r.FirstTokenP95 = d.summary.FirstToken().P95
	r.BetweenTokensP95 = d.summary.BetweenTokens().P95
	r.Records = len(d.records)
	for id, answer := range d.records {
		d.judgeRecord(d.fleet.Records.Count(id), answer)
	}
	counts := d.fleet.Counts()
	r.ColdLimitExceeded = counts.ColdLimitExceeded
	r.SentToIncompleteGroup = counts.SentToIncompleteGroup
	r.SentToZoneOut = counts.SentToZoneOut
	return *r
}

func (d *Demo) judgeRecord(ran int, answer load.Response) {
	r := &d.result
	if ran > 1 {
		r.RanTwice++
	}
	switch {
	case answer.Complete && ran == 0:
		r.LostRecords++
	case answer.Run == caller.NotRun && ran > 0:
		r.FalseNotRun++
	case answer.Run == caller.MayHaveRun:
		r.UnknownRecords++
	}
}
