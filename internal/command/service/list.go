package service

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ListOptions holds the options of service list.
type ListOptions struct {
	Factory *factory.Factory
}

func newList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("list", "List the services.\n\nExample:\n  hibiscuspulley service list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the services.
func RunList(ctx context.Context, opts *ListOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	services := factory.Entities(configuration, operator.KindService)
	if f.Flags.JSON {
		wires := []serviceWire{}
		for _, c := range services {
			wires = append(wires, toWire(*c.Service))
		}
		return f.WriteJSON(wires)
	}
	var rows [][]string
	for _, c := range services {
		s := c.Service
		rows = append(rows, []string{
			s.Name, string(s.Kind), groupsText(s.Groups), strconv.Itoa(s.GroupSize),
			strconv.Itoa(s.Slots), strconv.Itoa(s.ColdLimit),
		})
	}
	return f.WriteTable([]string{"NAME", "KIND", "GROUPS", "GROUP SIZE", "SLOTS", "COLD LIMIT"}, rows)
}

func groupsText(groups []operator.ZoneGroups) string {
	var parts []string
	for _, z := range groups {
		parts = append(parts, fmt.Sprintf("%s=%d", z.Zone, z.Count))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ",")
}
