package organisation

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ViewOptions holds the options of organisation view.
type ViewOptions struct {
	Factory *factory.Factory
	Name    string
}

func newView(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ViewOptions{Factory: f}
	cmd := parent.Command("view", "Show one organisation.\n\nExample:\n  hibiscuspulley organisation view trolley-north")
	cmd.Arg("name", "Organisation.").Required().StringVar(&opts.Name)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunView(ctx, opts) })
	})
}

// RunView shows one organisation.
func RunView(ctx context.Context, opts *ViewOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	change, err := factory.Entity(configuration, operator.KindOrganisation, opts.Name)
	if err != nil {
		return err
	}
	if f.Flags.JSON {
		return f.WriteJSON(toWire(change))
	}
	var rows [][]string
	for _, hash := range change.Organisation.KeyHashes {
		rows = append(rows, []string{"key hash", hash})
	}
	rows = append(rows, []string{"changed", fmt.Sprintf("revision %d by %s", change.Revision, change.Author)})
	return f.WriteTable([]string{"NAME", change.Name}, rows)
}
