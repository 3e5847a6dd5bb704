package config

import (
	"context"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
)

// HistoryOptions holds the options of config history.
type HistoryOptions struct {
	Factory *factory.Factory
	// After is the revision after which changes are listed.
	After uint64
}

type historyWire struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Kind     string    `json:"kind"`
	Name     string    `json:"name"`
	Deleted  bool      `json:"deleted"`
	Reason   string    `json:"reason"`
}

func newHistory(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &HistoryOptions{Factory: f}
	cmd := parent.Command("history", "List the accepted changes.\n\nExample:\n  hibiscuspulley config history --after 120")
	cmd.Flag("after", "List only changes after this revision.").Uint64Var(&opts.After)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunHistory(ctx, opts) })
	})
}

// RunHistory lists the accepted changes.
func RunHistory(ctx context.Context, opts *HistoryOptions) error {
	f := opts.Factory
	client, err := f.Operator()
	if err != nil {
		return err
	}
	changes, err := client.History(ctx, opts.After)
	if err != nil {
		return err
	}
	wires := []historyWire{}
	var rows [][]string
	for _, c := range changes {
		wires = append(wires, historyWire{
			Revision: c.Revision, At: c.At, Author: c.Author, Kind: string(c.Kind), Name: c.Name,
			Deleted: c.Deleted, Reason: c.Reason,
		})
		what := string(c.Kind) + " " + c.Name
		if c.Deleted {
			what += " (deleted)"
		}
		rows = append(rows, []string{
			strconv.FormatUint(c.Revision, 10), c.At.Format(time.RFC3339), c.Author, what, c.Reason,
		})
	}
	if f.Flags.JSON {
		return f.WriteJSON(wires)
	}
	return f.WriteTable([]string{"REVISION", "AT", "AUTHOR", "WHAT", "REASON"}, rows)
}
