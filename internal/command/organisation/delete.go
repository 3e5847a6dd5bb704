package organisation

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// DeleteOptions are the options of organisation delete.
type DeleteOptions struct {
	Factory *factory.Factory
	Name    string
	Reason  string
}

func newDelete(noun *kingpin.CmdClause, f *factory.Factory) {
	opts := &DeleteOptions{Factory: f}
	cmd := noun.Command("delete", "Delete an organisation; its keys stop working.\n\nExample:\n  hibiscuspulley organisation delete trolley-north --reason 'contract ended'")
	cmd.Arg("name", "Organisation.").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason for the history.").Required().StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunDelete(ctx, opts) })
	})
}

// RunDelete deletes an organisation.
func RunDelete(ctx context.Context, opts *DeleteOptions) error {
	return opts.Factory.Delete(ctx, operator.KindOrganisation, opts.Name, opts.Reason)
}
