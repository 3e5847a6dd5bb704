package zone

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// MoveOptions holds the options of zone out and zone in.
type MoveOptions struct {
	Factory *factory.Factory
	Name    string
	Reason  string
	// Out is true for zone out.
	Out bool
}

func newMove(parent *kingpin.CmdClause, f *factory.Factory, verb, help string, out bool) {
	opts := &MoveOptions{Factory: f, Out: out}
	cmd := parent.Command(verb, help+"\n\nExample:\n  hibiscuspulley zone "+verb+" b --reason 'power work' --wait")
	cmd.Arg("name", "Zone.").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason, shown to the whole consortium.").Required().StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunMove(ctx, opts) })
	})
}

// RunMove takes a zone out of service or returns it to service.
func RunMove(ctx context.Context, opts *MoveOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: operator.KindZone, Name: opts.Name, Reason: opts.Reason,
		Zone: &operator.Zone{Name: opts.Name, Out: opts.Out},
	})
}
