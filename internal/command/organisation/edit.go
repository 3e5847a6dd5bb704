package organisation

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

func newEdit(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &WriteOptions{Factory: f}
	cmd := parent.Command("edit", "Replace an organisation's keys.\n\nExample:\n  hibiscuspulley organisation edit trolley-north --caller-key-file old.key --caller-key-file new.key")
	opts.addFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunEdit(ctx, opts) })
	})
}

// RunEdit replaces an organisation's keys.
func RunEdit(ctx context.Context, opts *WriteOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	if _, err := factory.Entity(configuration, operator.KindOrganisation, opts.Name); err != nil {
		return err
	}
	return opts.write(ctx, client, configuration.Revision)
}
