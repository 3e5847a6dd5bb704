package instance

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ListOptions holds the options of instance list.
type ListOptions struct {
	Factory *factory.Factory
}

type instanceWire struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Domain      string `json:"fabric-domain"`
	Service     string `json:"service"`
	Group       string `json:"group"`
	Leaving     bool   `json:"leaving"`
	Drained     bool   `json:"drained"`
	Held        bool   `json:"held"`
	Quarantined bool   `json:"quarantined"`
}

func newList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("list", "List the known instances. Replica groups are shown only for the entry's own zone.\n\nExample:\n  hibiscuspulley instance list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the instances.
func RunList(ctx context.Context, opts *ListOptions) error {
	f := opts.Factory
	client, err := f.Operator()
	if err != nil {
		return err
	}
	list, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	wires := []instanceWire{}
	var rows [][]string
	for _, i := range list {
		wires = append(wires, instanceWire{
			Name: i.Name, Address: i.Address, Zone: i.Zone, Domain: i.Domain, Service: i.Service,
			Group: i.Group, Leaving: i.Leaving, Drained: i.Drained, Held: i.Held, Quarantined: i.Quarantined,
		})
		rows = append(rows, []string{i.Name, i.Zone, i.Domain, i.Service, i.Group, marks(i)})
	}
	if f.Flags.JSON {
		return f.WriteJSON(wires)
	}
	return f.WriteTable([]string{"NAME", "ZONE", "FABRIC DOMAIN", "SERVICE", "GROUP", "MARKS"}, rows)
}

func marks(i operator.InstanceStatus) string {
	var list []string
	for _, mark := range []struct {
		set  bool
		name string
	}{{i.Leaving, "leaving"}, {i.Drained, "drained"}, {i.Held, "held"}, {i.Quarantined, "quarantined"}} {
		if mark.set {
			list = append(list, mark.name)
		}
	}
	return strings.Join(list, ",")
}
