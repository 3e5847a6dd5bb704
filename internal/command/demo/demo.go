// Package demo implements the demo command, which runs the system under load
// and injected faults.
package demo

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/demo"
	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// Options holds the options of demo.
type Options struct {
	Factory  *factory.Factory
	Duration time.Duration
	// Verbose sets the log level of the entries to info.
	Verbose bool
}

type resultWire struct {
	Requests              int     `json:"requests"`
	WholeAnswers          int     `json:"whole-answers"`
	WrongAnswers          int     `json:"wrong-answers"`
	RefusedNotRun         int     `json:"refused-not-run"`
	Failed                int     `json:"failed"`
	Records               int     `json:"records"`
	RanTwice              int     `json:"ran-twice"`
	LostRecords           int     `json:"lost-records"`
	FalseNotRun           int     `json:"false-not-run"`
	UnknownRecords        int     `json:"unknown-records"`
	FirstTokenP95MS       float64 `json:"first-token-p95-ms"`
	BetweenTokensP95MS    float64 `json:"between-tokens-p95-ms"`
	ColdLimitExceeded     int64   `json:"cold-limit-exceeded"`
	SentToIncompleteGroup int64   `json:"sent-to-incomplete-group"`
	SentToZoneOut         int64   `json:"sent-to-zone-out"`
	Held                  bool    `json:"held"`
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	cmd := app.Command("demo", "Run entries in three zones and all stand-ins in one process under load and injected faults, and print the results as observed by callers.\n\nExample:\n  hibiscuspulley demo --duration 20s")
	cmd.Flag("duration", "Duration of the load.").Default("20s").DurationVar(&opts.Duration)
	cmd.Flag("verbose", "Print the log of the entries.").BoolVar(&opts.Verbose)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return Run(ctx, opts) })
	})
}

// Run runs the demo. It fails if a guarantee that it checks was violated.
func Run(ctx context.Context, opts *Options) error {
	plan := fleet.DefaultPlan()
	if opts.Verbose {
		plan.LogLevel = "info"
	}
	result, err := demo.Run(ctx, plan, standin.NewLoopback(), opts.Duration, lockedWriter(opts.Factory.Err))
	if err != nil {
		return err
	}
	if err := write(opts.Factory, result); err != nil {
		return err
	}
	if !result.InvariantsHeld() {
		return errors.New("a guarantee was violated; see the counts above")
	}
	return nil
}

func write(f *factory.Factory, r demo.Result) error {
	w := resultWire{
		Requests: r.Requests, WholeAnswers: r.CompleteResponses, WrongAnswers: r.WrongResponses,
		RefusedNotRun: r.RejectedNotRun, Failed: r.Failed, Records: r.Records, RanTwice: r.RanTwice,
		LostRecords: r.LostRecords, FalseNotRun: r.FalseNotRun, UnknownRecords: r.UnknownRecords,
		FirstTokenP95MS: milliseconds(r.FirstTokenP95), BetweenTokensP95MS: milliseconds(r.BetweenTokensP95),
		ColdLimitExceeded: r.ColdLimitExceeded, SentToIncompleteGroup: r.SentToIncompleteGroup,
		SentToZoneOut: r.SentToZoneOut, Held: r.InvariantsHeld(),
	}
	if f.Flags.JSON {
		return f.WriteJSON(w)
	}
	return f.WriteTable([]string{"WHAT CALLERS SAW", ""}, [][]string{
		{"requests", strconv.Itoa(w.Requests)},
		{"complete responses", strconv.Itoa(w.WholeAnswers)},
		{"wrong responses", strconv.Itoa(w.WrongAnswers)},
		{"rejected, not run", strconv.Itoa(w.RefusedNotRun)},
		{"failed", strconv.Itoa(w.Failed)},
		{"records", strconv.Itoa(w.Records)},
		{"records that ran twice", strconv.Itoa(w.RanTwice)},
		{"records lost", strconv.Itoa(w.LostRecords)},
		{"records run although reported as not run", strconv.Itoa(w.FalseNotRun)},
		{"records with unknown outcome", strconv.Itoa(w.UnknownRecords)},
		{"first token, p95", r.FirstTokenP95.String()},
		{"between tokens, p95", r.BetweenTokensP95.String()},
		{"requests beyond a cold limit", strconv.FormatInt(w.ColdLimitExceeded, 10)},
		{"requests to an incomplete group", strconv.FormatInt(w.SentToIncompleteGroup, 10)},
		{"requests to the zone out of service", strconv.FormatInt(w.SentToZoneOut, 10)},
	})
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// lockedWriter returns a writer to w that is safe for concurrent use.
func lockedWriter(w io.Writer) io.Writer {
	lock := make(chan struct{}, 1)
	return writerFunc(func(p []byte) (int, error) {
		lock <- struct{}{}
		defer func() { <-lock }()
		return w.Write(p)
	})
}

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
