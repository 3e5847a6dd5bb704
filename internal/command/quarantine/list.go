package quarantine

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
)

type partWire struct {
	Part     string   `json:"part"`
	Entry    string   `json:"entry"`
	Servers  []string `json:"servers"`
	Requests []string `json:"requests"`
	Trials   int      `json:"trials"`
}

func newList(parent *kingpin.CmdClause, opts *Options) {
	cmd := parent.Command("list", "List the prompt parts in quarantine.\n\nExample:\n  hibiscuspulley quarantine list --store 10.200.1.7:8223")
	cmd.Action(func(*kingpin.ParseContext) error {
		return opts.Factory.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the parts in quarantine.
func RunList(ctx context.Context, opts *Options) error {
	page, err := opts.Store(opts.StoreAddress).ReadAll(ctx, quarantine.Table, "")
	if err != nil {
		return errors.Wrapf(err, "read the quarantine from the store at %s", opts.StoreAddress)
	}
	wires := []partWire{}
	var rows [][]string
	for _, row := range page.Rows {
		r, err := quarantine.DecodeRecord(row.Key, row.Value)
		if err != nil {
			return err
		}
		wires = append(wires, partWire{Part: r.Part, Entry: r.Entry, Servers: r.Servers, Requests: r.Requests, Trials: r.Trials})
		rows = append(rows, []string{r.Part, strconv.Itoa(len(r.Servers)), strconv.Itoa(len(r.Requests)), strconv.Itoa(r.Trials), r.Entry})
	}
	if opts.Factory.Flags.JSON {
		return opts.Factory.WriteJSON(wires)
	}
	return opts.Factory.WriteTable([]string{"PART", "CRASHES", "REQUESTS", "TRIALS", "RECORDED BY"}, rows)
}
