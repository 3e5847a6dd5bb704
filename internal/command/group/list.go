package group

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ListOptions holds the options of group list and group view.
type ListOptions struct {
	Factory *factory.Factory
	// Name is the group to view; group list leaves it empty.
	Name string
}

type groupWire struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Zone       string   `json:"zone"`
	Domain     string   `json:"fabric-domain"`
	Owner      string   `json:"owner"`
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	State      string   `json:"state"`
	Credits    int      `json:"credits"`
	InFlight   int      `json:"in-flight"`
	DowntimeMS int64    `json:"downtime-ms"`
}

func toWire(g operator.GroupStatus) groupWire {
	return groupWire{
		Name: g.Name, Service: g.Service, Zone: g.Zone, Domain: g.Domain, Owner: g.Owner,
		Generation: g.Generation, Members: g.Members, State: state(g), Credits: g.Credits,
		InFlight: g.InFlight, DowntimeMS: g.Downtime.Milliseconds(),
	}
}

func state(g operator.GroupStatus) string {
	switch {
	case !g.Valid:
		return "closed"
	case g.Cold:
		return "cold"
	default:
		return "open"
	}
}

func newList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("list", "List the replica groups of the entry's zone.\n\nExample:\n  hibiscuspulley group list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunList(ctx, opts) })
	})
}

// RunList lists the replica groups.
func RunList(ctx context.Context, opts *ListOptions) error {
	groups, err := opts.groups(ctx)
	if err != nil {
		return err
	}
	f := opts.Factory
	if f.Flags.JSON {
		wires := []groupWire{}
		for _, g := range groups {
			wires = append(wires, toWire(g))
		}
		return f.WriteJSON(wires)
	}
	var rows [][]string
	for _, g := range groups {
		rows = append(rows, []string{
			g.Name, g.Domain, g.Owner, strconv.FormatUint(g.Generation, 10),
			state(g), strconv.Itoa(g.Credits), strconv.Itoa(g.InFlight),
		})
	}
	return f.WriteTable([]string{"NAME", "FABRIC DOMAIN", "OWNER", "GENERATION", "STATE", "CREDITS", "IN FLIGHT"}, rows)
}

func (opts *ListOptions) groups(ctx context.Context) ([]operator.GroupStatus, error) {
	client, err := opts.Factory.Operator()
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	return status.Groups, err
}

func newView(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ListOptions{Factory: f}
	cmd := parent.Command("view", "Show one replica group of the entry's zone.\n\nExample:\n  hibiscuspulley group view yard-notes-a-0")
	cmd.Arg("name", "Name of the replica group.").Required().StringVar(&opts.Name)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunView(ctx, opts) })
	})
}

// RunView shows one replica group.
func RunView(ctx context.Context, opts *ListOptions) error {
	groups, err := opts.groups(ctx)
	if err != nil {
		return err
	}
	for _, g := range groups {
		if g.Name == opts.Name {
			return opts.show(g)
		}
	}
	return errors.Errorf("there is no replica group %q in the entry's zone; see hibiscuspulley group list", opts.Name)
}

func (opts *ListOptions) show(g operator.GroupStatus) error {
	f := opts.Factory
	if f.Flags.JSON {
		return f.WriteJSON(toWire(g))
	}
	return f.WriteTable([]string{"NAME", g.Name}, [][]string{
		{"service", g.Service},
		{"zone", g.Zone},
		{"fabric domain", g.Domain},
		{"owner", g.Owner},
		{"generation", strconv.FormatUint(g.Generation, 10)},
		{"members", strings.Join(g.Members, ", ")},
		{"state", state(g)},
		{"downtime", fmt.Sprint(g.Downtime)},
	})
}
