package config

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// DefaultsOptions are the options of config defaults view and edit. Fields
// that are negative or 0 stay as they are.
type DefaultsOptions struct {
	Factory        *factory.Factory
	Weight         int
	MaxInFlight    int
	RetryPercent   int
	RequestTimeout time.Duration
	Reason         string
}

// unset marks a number that the command line does not set.
const unset = "-1"

type defaultsWire struct {
	Weight           int   `json:"weight"`
	MaxInFlight      int   `json:"max-in-flight"`
	RetryPercent     int   `json:"retry-percent"`
	RequestTimeoutMS int64 `json:"request-timeout-ms"`
}

func newDefaultsView(noun *kingpin.CmdClause, f *factory.Factory) {
	opts := &DefaultsOptions{Factory: f}
	cmd := noun.Command("view", "Show the defaults.\n\nExample:\n  hibiscuspulley config defaults view")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunDefaultsView(ctx, opts) })
	})
}

// RunDefaultsView shows the fleet-wide defaults.
func RunDefaultsView(ctx context.Context, opts *DefaultsOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	d := configuration.Defaults
	if f.Flags.JSON {
		return f.WriteJSON(defaultsWire{
			Weight: d.Weight, MaxInFlight: d.MaxInFlight, RetryPercent: d.RetryPercent,
			RequestTimeoutMS: d.RequestTimeout.Milliseconds(),
		})
	}
	return f.WriteTable([]string{"SETTING", "VALUE"}, [][]string{
		{"weight", fmt.Sprint(d.Weight)},
		{"max-in-flight", fmt.Sprint(d.MaxInFlight)},
		{"retry-percent", fmt.Sprint(d.RetryPercent)},
		{"request-timeout", d.RequestTimeout.String()},
	})
}

func newDefaultsEdit(noun *kingpin.CmdClause, f *factory.Factory) {
	opts := &DefaultsOptions{Factory: f}
	cmd := noun.Command("edit", "Change the defaults; what is not named stays as it is.\n\nExample:\n  hibiscuspulley config defaults edit --retry-percent 5 --reason 'spare the engines'")
	cmd.Flag("weight", "An organisation's share of a busy service.").Default(unset).IntVar(&opts.Weight)
	cmd.Flag("max-in-flight", "An organisation's requests in progress per zone; 0 for no bound.").Default(unset).IntVar(&opts.MaxInFlight)
	cmd.Flag("retry-percent", "Retries as a share of requests.").Default(unset).IntVar(&opts.RetryPercent)
	cmd.Flag("request-timeout", "Bound of a whole request.").DurationVar(&opts.RequestTimeout)
	cmd.Flag("reason", "Reason for the history.").StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunDefaultsEdit(ctx, opts) })
	})
}

// RunDefaultsEdit changes the fleet-wide defaults.
func RunDefaultsEdit(ctx context.Context, opts *DefaultsOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	d := configuration.Defaults
	setNumber(&d.Weight, opts.Weight)
	setNumber(&d.MaxInFlight, opts.MaxInFlight)
	setNumber(&d.RetryPercent, opts.RetryPercent)
	if opts.RequestTimeout > 0 {
		d.RequestTimeout = opts.RequestTimeout
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: operator.KindDefaults, Name: "defaults",
		Reason: opts.Reason, Defaults: &d,
	})
}

func setNumber(into *int, value int) {
	if value >= 0 {
		*into = value
	}
}
