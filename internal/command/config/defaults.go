package config

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// DefaultsOptions holds the options of config defaults view and edit. A
// negative number or a zero RequestTimeout leaves the default unchanged.
type DefaultsOptions struct {
	Factory        *factory.Factory
	Weight         int
	MaxInFlight    int
	RetryPercent   int
	RequestTimeout time.Duration
	Reason         string
}

// unsetNumber is the default of numeric flags; 0 is a valid value of some.
const unsetNumber = "-1"

type defaultsWire struct {
	Weight           int   `json:"weight"`
	MaxInFlight      int   `json:"max-in-flight"`
	RetryPercent     int   `json:"retry-percent"`
	RequestTimeoutMS int64 `json:"request-timeout-ms"`
}

func newDefaultsView(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &DefaultsOptions{Factory: f}
	cmd := parent.Command("view", "Show the fleet-wide defaults.\n\nExample:\n  hibiscuspulley config defaults view")
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

func newDefaultsEdit(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &DefaultsOptions{Factory: f}
	cmd := parent.Command("edit", "Change the fleet-wide defaults. Flags that are not set leave their value unchanged.\n\nExample:\n  hibiscuspulley config defaults edit --retry-percent 5 --reason 'spare the engines'")
	cmd.Flag("weight", "Weight of an organisation when a service is at capacity.").Default(unsetNumber).IntVar(&opts.Weight)
	cmd.Flag("max-in-flight", "Maximum in-flight requests of an organisation per zone; 0 for no limit.").Default(unsetNumber).IntVar(&opts.MaxInFlight)
	cmd.Flag("retry-percent", "Maximum retries as a percentage of requests.").Default(unsetNumber).IntVar(&opts.RetryPercent)
	cmd.Flag("request-timeout", "Timeout of a whole request.").DurationVar(&opts.RequestTimeout)
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
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

func setNumber(dst *int, value int) {
	if value >= 0 {
		*dst = value
	}
}
