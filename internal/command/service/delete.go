package service

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// DeleteOptions are the options of service delete.
type DeleteOptions struct {
	Factory *factory.Factory
	Name    string
	Reason  string
}

func newDelete(noun *kingpin.CmdClause, f *factory.Factory) {
	opts := &DeleteOptions{Factory: f}
	cmd := noun.Command("delete", "Delete a service and release its replica groups.\n\nExample:\n  hibiscuspulley service delete yard-notes --reason 'replaced by yard-notes-2'")
	cmd.Arg("name", "Service.").Required().StringVar(&opts.Name)
	cmd.Flag("reason", "Reason for the history.").Required().StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunDelete(ctx, opts) })
	})
}

// RunDelete deletes a service.
func RunDelete(ctx context.Context, opts *DeleteOptions) error {
	return opts.Factory.Delete(ctx, operator.KindService, opts.Name, opts.Reason)
}
