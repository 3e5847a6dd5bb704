package instance

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// SetOptions holds the options of the commands that set or clear a mark of an
// instance.
type SetOptions struct {
	Factory *factory.Factory
	Name    string
	Reason  string
	// Mark sets or clears the mark.
	Mark func(*operator.Instance)
}

func newSet(parent *kingpin.CmdClause, f *factory.Factory, verb, help string, mark func(*operator.Instance)) {
	opts := &SetOptions{Factory: f, Mark: mark}
	cmd := parent.Command(verb, help+"\n\nExample:\n  hibiscuspulley instance "+verb+" engine-a-0-3 --reason 'fan noise'")
	cmd.Arg("name", "Instance.").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunSet(ctx, opts) })
	})
}

// RunSet sets or clears a mark of an instance and keeps its other marks.
func RunSet(ctx context.Context, opts *SetOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	instance := operator.Instance{Name: opts.Name}
	for _, c := range factory.Entities(configuration, operator.KindInstance) {
		if c.Name == opts.Name {
			instance = *c.Instance
		}
	}
	opts.Mark(&instance)
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: operator.KindInstance, Name: opts.Name,
		Reason: opts.Reason, Instance: &instance,
	})
}
