package service

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// CreateOptions holds the options of service create.
type CreateOptions struct {
	Factory *factory.Factory
	Name    string
	Kind    string
	Reason  string
	Fields  Fields
}

func newCreate(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &CreateOptions{Factory: f}
	cmd := parent.Command("create", "Create a service.\n\nExamples:\n  hibiscuspulley service create yard-notes --kind model --group-size 4 --groups a=4 --groups b=4 --slots 16 --cold-limit 2\n  hibiscuspulley service create docking --kind plain")
	cmd.Arg("name", "Service.").Required().StringVar(&opts.Name)
	cmd.Flag("kind", "Kind of the service: model or plain.").Required().EnumVar(&opts.Kind, "model", "plain")
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
	opts.Fields.addFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunCreate(ctx, opts) })
	})
}

// RunCreate creates a service. It fails if the name is already in use.
func RunCreate(ctx context.Context, opts *CreateOptions) error {
	client, err := opts.Factory.Operator()
	if err != nil {
		return err
	}
	s := &operator.Service{Name: opts.Name, Kind: operator.ServiceKind(opts.Kind)}
	if err := opts.Fields.apply(s); err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Kind: operator.KindService, Name: opts.Name, Reason: opts.Reason, Service: s,
	})
}
