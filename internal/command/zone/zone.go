// Package zone implements the commands that manage availability zones.
package zone

import (
	"context"
	"sort"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// New adds the zone commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("zone", "Take availability zones out of service and return them to service.")
	newList(parent, f)
	newMove(parent, f, "out", "Take a zone out of service: it receives no new requests after a few seconds; requests in flight finish.", true)
	newMove(parent, f, "in", "Return a zone to service.", false)
}

// ListOptions holds the options of zone list.
type ListOptions struct {
	Factory *factory.Factory
}

type zoneWire struct {
	Name    string `json:"name"`
	Out     bool   `json:"out"`
	Reason  string `json:"reason"`
	Author  string `json:"author"`
	Entries int    `json:"entries"`
}

func newList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("list", "List the zones.\n\nExample:\n  hibiscuspulley zone list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the zones that have entries or a state set by operators.
func RunList(ctx context.Context, opts *ListOptions) error {
	f := opts.Factory
	client, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	confirmations, err := client.Confirmations(ctx)
	if err != nil {
		return err
	}
	zones := mergeZones(configuration, confirmations)
	if f.Flags.JSON {
		return f.WriteJSON(zones)
	}
	var rows [][]string
	for _, z := range zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		rows = append(rows, []string{z.Name, state, strconv.Itoa(z.Entries), z.Author, z.Reason})
	}
	return f.WriteTable([]string{"NAME", "STATE", "ENTRIES", "AUTHOR", "REASON"}, rows)
}

func mergeZones(configuration operator.Configuration, confirmations []operator.Confirmation) []zoneWire {
	byName := make(map[string]*zoneWire)
	zoneNamed := func(name string) *zoneWire {
		if byName[name] == nil {
			byName[name] = &zoneWire{Name: name}
		}
		return byName[name]
	}
	for _, c := range confirmations {
		zoneNamed(c.Zone).Entries++
	}
	for _, c := range factory.Entities(configuration, operator.KindZone) {
		z := zoneNamed(c.Name)
		z.Out, z.Reason, z.Author = c.Zone.Out, c.Reason, c.Author
	}
	zones := make([]zoneWire, 0, len(byName))
	for _, z := range byName {
		zones = append(zones, *z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].Name < zones[j].Name })
	return zones
}
