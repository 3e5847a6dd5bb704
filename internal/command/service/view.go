package service

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ViewOptions holds the options of service view.
type ViewOptions struct {
	Factory *factory.Factory
	Name    string
}

func newView(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ViewOptions{Factory: f}
	cmd := parent.Command("view", "Show one service.\n\nExample:\n  hibiscuspulley service view yard-notes")
	cmd.Arg("name", "Service.").Required().StringVar(&opts.Name)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunView(ctx, opts) })
	})
}

// RunView shows one service.
func RunView(ctx context.Context, opts *ViewOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	change, err := factory.Entity(configuration, operator.KindService, opts.Name)
	if err != nil {
		return err
	}
	w := toWire(*change.Service)
	if f.Flags.JSON {
		return f.WriteJSON(w)
	}
	rows := [][]string{
		{"kind", w.Kind},
		{"model", w.Model},
		{"groups", groupsText(change.Service.Groups)},
		{"group size", fmt.Sprint(w.GroupSize)},
		{"slots", fmt.Sprint(w.Slots)},
		{"cold limit", fmt.Sprint(w.ColdLimit)},
		{"first token", fmt.Sprintf("%d ms", w.FirstTokenMS)},
		{"between tokens", fmt.Sprintf("%d ms", w.BetweenTokensMS)},
		{"target", fmt.Sprint(w.Target)},
	}
	for _, r := range w.Routes {
		rows = append(rows, []string{"route", fmt.Sprintf("%s %s idempotent=%t", r.Method, r.PathPrefix, r.Idempotent)})
	}
	rows = append(rows, []string{"changed", fmt.Sprintf("revision %d by %s", change.Revision, change.Author)})
	return f.WriteTable([]string{"NAME", w.Name}, rows)
}
