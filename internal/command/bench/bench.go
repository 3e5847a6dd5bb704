// Package bench implements the bench command, which measures an entry under
// load.
package bench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/bench"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/load"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// Options holds the options of bench.
type Options struct {
	Factory *factory.Factory
	Plan    bench.Plan
	// CallerKeyFile is the path of a file with the organisation's bearer key.
	CallerKeyFile string
	// PlotFile is the path that the plot is written to; empty writes none.
	PlotFile string
}

type percentilesWire struct {
	P50MS float64 `json:"p50-ms"`
	P95MS float64 `json:"p95-ms"`
	P99MS float64 `json:"p99-ms"`
	MaxMS float64 `json:"max-ms"`
}

type resultWire struct {
	Seconds       float64         `json:"seconds"`
	Requests      int             `json:"requests"`
	WholeAnswers  int             `json:"whole-answers"`
	RefusedNotRun int             `json:"refused-not-run"`
	Failed        int             `json:"failed"`
	Tokens        int             `json:"tokens"`
	TokensPerSec  float64         `json:"tokens-per-second"`
	FirstToken    percentilesWire `json:"first-token"`
	BetweenTokens percentilesWire `json:"between-tokens"`
	Whole         percentilesWire `json:"whole"`
	Records       int             `json:"records"`
	RecordsDone   int             `json:"records-done"`
	RecordsNotRun int             `json:"records-refused-not-run"`
	RecordsFailed int             `json:"records-failed"`
	Record        percentilesWire `json:"record"`
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	p := &opts.Plan
	cmd := app.Command("bench", "Send an open-loop load to an entry and print the results as observed by callers.\n\nExample:\n  hibiscuspulley bench --url http://127.0.0.1:8000 --caller-key-file examples/caller.key --model yard-notes --rate 20 --duration 10s")
	cmd.Flag("url", "URL of an entry's caller listener.").Required().StringVar(&p.URL)
	cmd.Flag("caller-key-file", "File with an organisation's bearer key.").Required().StringVar(&opts.CallerKeyFile)
	cmd.Flag("model", "Model to call.").StringVar(&p.Model)
	cmd.Flag("rate", "Model requests per second.").Default("0").Float64Var(&p.Rate)
	cmd.Flag("prompt-words", "Words per prompt.").Default("50").IntVar(&p.PromptWords)
	cmd.Flag("prompts", "Number of distinct prompts.").Default("20").IntVar(&p.Prompts)
	cmd.Flag("max-tokens", "Maximum tokens per response.").Default("32").IntVar(&p.MaxTokens)
	cmd.Flag("service", "Plain service to call.").StringVar(&p.Service)
	cmd.Flag("record-rate", "Non-idempotent calls of the plain service per second.").Default("0").Float64Var(&p.RecordRate)
	cmd.Flag("record-header", "Request header that carries the record identifier.").Default("X-Record-Id").StringVar(&p.RecordHeader)
	cmd.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&p.Duration)
	cmd.Flag("plot", "File to write a per-second plot to: svg, png or pdf.").StringVar(&opts.PlotFile)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return Run(ctx, opts) })
	})
}

// Run generates the load and prints the results as observed by callers.
func Run(ctx context.Context, opts *Options) error {
	key, err := settings.ReadSecret(opts.CallerKeyFile)
	if err != nil {
		return err
	}
	opts.Plan.Key = key
	result := bench.Run(ctx, opts.Plan, progress(opts.Factory))
	if opts.PlotFile != "" {
		if err := result.Plot(opts.PlotFile); err != nil {
			return err
		}
	}
	return write(opts.Factory, result)
}

// progress returns a callback that prints the progress to standard error if it
// is a terminal, and does nothing otherwise.
func progress(f *factory.Factory) func(time.Duration, bench.Result) {
	file, ok := f.Err.(*os.File)
	if !ok {
		return func(time.Duration, bench.Result) {}
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(time.Duration, bench.Result) {}
	}
	return func(done time.Duration, r bench.Result) {
		requests, whole, _, failed, tokens := r.Generated.Counts()
		fmt.Fprintf(f.Err, "\r%3.0f s: %d responses, %d complete, %d failed, %d tokens", done.Seconds(), requests, whole, failed, tokens)
	}
}

func write(f *factory.Factory, r bench.Result) error {
	w := resultWire{Seconds: r.Elapsed.Seconds()}
	w.Requests, w.WholeAnswers, w.RefusedNotRun, w.Failed, w.Tokens = r.Generated.Counts()
	w.Records, w.RecordsDone, w.RecordsNotRun, w.RecordsFailed, _ = r.Recorded.Counts()
	w.TokensPerSec = float64(w.Tokens) / r.Elapsed.Seconds()
	w.FirstToken = toWire(r.Generated.FirstToken())
	w.BetweenTokens = toWire(r.Generated.BetweenTokens())
	w.Whole = toWire(r.Generated.Total())
	w.Record = toWire(r.Recorded.Total())
	if f.Flags.JSON {
		return f.WriteJSON(w)
	}
	if _, err := fmt.Fprintf(f.Out, "%d requests in %.1f s: %d complete, %d rejected without running, %d failed; %.0f tokens per second\n%d records: %d done, %d rejected without running, %d failed\n\n",
		w.Requests, w.Seconds, w.WholeAnswers, w.RefusedNotRun, w.Failed, w.TokensPerSec,
		w.Records, w.RecordsDone, w.RecordsNotRun, w.RecordsFailed); err != nil {
		return err
	}
	return f.WriteTable([]string{"MILLISECONDS", "P50", "P95", "P99", "MAX"}, [][]string{
		w.FirstToken.row("first token"), w.BetweenTokens.row("between tokens"),
		w.Whole.row("whole response"), w.Record.row("record"),
	})
}

func toWire(p load.Percentiles) percentilesWire {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return percentilesWire{P50MS: ms(p.P50), P95MS: ms(p.P95), P99MS: ms(p.P99), MaxMS: ms(p.Max)}
}

func (p percentilesWire) row(name string) []string {
	cell := func(v float64) string { return fmt.Sprintf("%.2f", v) }
	return []string{name, cell(p.P50MS), cell(p.P95MS), cell(p.P99MS), cell(p.MaxMS)}
}
