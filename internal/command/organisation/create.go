package organisation

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// WriteOptions holds the options of organisation create and edit.
type WriteOptions struct {
	Factory   *factory.Factory
	Name      string
	KeyFiles  []string
	KeyHashes []string
	Reason    string
}

func (opts *WriteOptions) addFlags(cmd *kingpin.CmdClause) {
	cmd.Arg("name", "Organisation.").Required().StringVar(&opts.Name)
	cmd.Flag("caller-key-file", "File with a bearer key of the organisation; repeatable.").StringsVar(&opts.KeyFiles)
	cmd.Flag("key-hash", "Hexadecimal SHA-256 hash of a bearer key; repeatable.").StringsVar(&opts.KeyHashes)
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
}

func newCreate(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &WriteOptions{Factory: f}
	cmd := parent.Command("create", "Create an organisation. Only hashes of its keys are stored.\n\nExample:\n  hibiscuspulley organisation create trolley-north --caller-key-file north.key")
	opts.addFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunCreate(ctx, opts) })
	})
}

// RunCreate creates an organisation. It fails if the name is already in use.
func RunCreate(ctx context.Context, opts *WriteOptions) error {
	client, err := opts.Factory.Operator()
	if err != nil {
		return err
	}
	return opts.write(ctx, client, 0)
}

// write submits the organisation as a change that fails if the organisation is
// no longer at revision base. 0 means that the organisation must not exist.
func (opts *WriteOptions) write(ctx context.Context, client *operator.Client, base uint64) error {
	hashes, err := hashKeys(opts.KeyFiles, opts.KeyHashes)
	if err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: base, Kind: operator.KindOrganisation, Name: opts.Name, Reason: opts.Reason,
		Organisation: &operator.Organisation{Name: opts.Name, KeyHashes: hashes},
	})
}
