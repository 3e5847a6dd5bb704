package service

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// EditOptions holds the options of service edit.
type EditOptions struct {
	Factory *factory.Factory
	Name    string
	Reason  string
	Fields  Fields
}

func newEdit(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &EditOptions{Factory: f}
	cmd := parent.Command("edit", "Change a service. Flags that are not set leave their field unchanged.\n\nExample:\n  hibiscuspulley service edit yard-notes --groups a=6 --groups b=4 --reason 'more night shifts'")
	cmd.Arg("name", "Service.").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
	opts.Fields.addFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunEdit(ctx, opts) })
	})
}

// RunEdit changes a service.
func RunEdit(ctx context.Context, opts *EditOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	change, err := factory.Entity(configuration, operator.KindService, opts.Name)
	if err != nil {
		return err
	}
	if err := opts.Fields.apply(change.Service); err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: operator.KindService, Name: opts.Name,
		Reason: opts.Reason, Service: change.Service,
	})
}
