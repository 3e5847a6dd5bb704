package factory

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// DeleteOptions holds the options of the commands that delete an entity.
type DeleteOptions struct {
	Factory *Factory
	Kind    operator.Kind
	Name    string
	Reason  string
}

// NewDelete adds a command that deletes entities of a kind. The argument help
// is the description and example is the command line without the program's
// name.
func NewDelete(parent *kingpin.CmdClause, f *Factory, verb string, kind operator.Kind, help, example string) {
	opts := &DeleteOptions{Factory: f, Kind: kind}
	cmd := parent.Command(verb, help+"\n\nExample:\n  hibiscuspulley "+example)
	cmd.Arg("name", "Name of the "+string(kind)+".").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason, shown to the whole consortium.").Required().StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunDelete(ctx, opts) })
	})
}

// RunDelete deletes an entity. It fails if the entity does not exist.
func RunDelete(ctx context.Context, opts *DeleteOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	if _, err := Entity(configuration, opts.Kind, opts.Name); err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: opts.Kind, Name: opts.Name, Deleted: true, Reason: opts.Reason,
	})
}
