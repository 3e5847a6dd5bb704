package quarantine

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// ClearOptions holds the options of quarantine clear.
type ClearOptions struct {
	*Options
	// Part is the ID of the prompt part.
	Part string
}

func newClear(parent *kingpin.CmdClause, shared *Options) {
	opts := &ClearOptions{Options: shared}
	cmd := parent.Command("clear", "Release a prompt part from quarantine, for example after the engines were mended.\n\nExample:\n  hibiscuspulley quarantine clear --store 10.200.1.7:8223 91bd3f06")
	cmd.Arg("part", "ID of the part, as in quarantine list.").Required().StringVar(&opts.Part)
	cmd.Action(func(*kingpin.ParseContext) error {
		return opts.Factory.Action(func(ctx context.Context) error { return RunClear(ctx, opts) })
	})
}

// RunClear releases a part. The gateways send requests with it on within seconds,
// and hold it back again only after new crashes.
func RunClear(ctx context.Context, opts *ClearOptions) error {
	client := opts.Store(opts.StoreAddress)
	key := store.RowKey{Table: quarantine.Table, Key: strings.ToLower(opts.Part)}
	page, err := client.Read(ctx, key.Table, key.Partition, key.Key)
	if err != nil {
		return errors.Wrapf(err, "read the quarantine from the store at %s", opts.StoreAddress)
	}
	if len(page.Rows) == 0 || page.Rows[0].Key != key.Key {
		return errors.Errorf("part %q is not in quarantine; \"hibiscuspulley quarantine list\" shows the parts", opts.Part)
	}
	_, err = client.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{RowKey: key, Version: page.Rows[0].Version}}, Deletes: []store.RowKey{key},
	})
	if errors.Is(err, store.ErrConflict) {
		return errors.Errorf("part %q was changed at the same moment, by a trial or another operator; try again", opts.Part)
	}
	if err != nil {
		return errors.Wrapf(err, "release part %q", opts.Part)
	}
	_, err = fmt.Fprintf(opts.Factory.Err, "part %s is released\n", key.Key)
	return errors.Wrap(err, "write the result")
}
