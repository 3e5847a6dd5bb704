package organisation

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ListOptions holds the options of organisation list.
type ListOptions struct {
	Factory *factory.Factory
}

type organisationWire struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key-hashes"`
	Revision  uint64   `json:"revision"`
	Author    string   `json:"author"`
}

func toWire(c operator.Change) organisationWire {
	return organisationWire{
		Name: c.Name, KeyHashes: c.Organisation.KeyHashes, Revision: c.Revision, Author: c.Author,
	}
}

func newList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("list", "List the organisations.\n\nExample:\n  hibiscuspulley organisation list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the organisations.
func RunList(ctx context.Context, opts *ListOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	wires := []organisationWire{}
	var rows [][]string
	for _, c := range factory.Entities(configuration, operator.KindOrganisation) {
		wires = append(wires, toWire(c))
		rows = append(rows, []string{c.Name, strconv.Itoa(len(c.Organisation.KeyHashes)), c.Author})
	}
	if f.Flags.JSON {
		return f.WriteJSON(wires)
	}
	return f.WriteTable([]string{"NAME", "KEYS", "AUTHOR"}, rows)
}
