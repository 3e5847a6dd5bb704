// Package status implements the status command, which shows the state of the
// fleet.
package status

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Options holds the options of status.
type Options struct {
	Factory *factory.Factory
}

type entryWire struct {
	Entry    string `json:"entry"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Reached  bool   `json:"reached"`
}

type statusWire struct {
	Entry             string      `json:"entry"`
	Ready             bool        `json:"ready"`
	PlatformReachable bool        `json:"platform-reachable"`
	SessionEpoch      uint64      `json:"session-epoch"`
	GroupsOpen        int         `json:"groups-open"`
	Groups            int         `json:"groups"`
	Entries           []entryWire `json:"entries"`
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	cmd := app.Command("status", "Show the state of an entry and its fleet.\n\nExample:\n  hibiscuspulley status")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return Run(ctx, opts) })
	})
}

// Run prints the state of an entry and its fleet.
func Run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	client, err := f.Operator()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	confirmations, err := client.Confirmations(ctx)
	if err != nil {
		return err
	}
	w := summarise(status, confirmations)
	if f.Flags.JSON {
		return f.WriteJSON(w)
	}
	return write(f, w)
}

func summarise(s operator.Status, confirmations []operator.Confirmation) statusWire {
	w := statusWire{
		Entry: s.Entry, Ready: s.Ready, PlatformReachable: s.PlatformReachable,
		SessionEpoch: s.SessionEpoch, Groups: len(s.Groups), Entries: []entryWire{},
	}
	for _, g := range s.Groups {
		if g.Valid {
			w.GroupsOpen++
		}
	}
	for _, c := range confirmations {
		w.Entries = append(w.Entries, entryWire{
			Entry: c.Entry, Zone: c.Zone, Revision: c.Revision, Reached: c.Reached,
		})
	}
	return w
}

func write(f *factory.Factory, w statusWire) error {
	_, err := fmt.Fprintf(f.Out, "%s: ready %t, platform reachable %t, session %d, %d of %d replica groups of its zone open\n\n",
		w.Entry, w.Ready, w.PlatformReachable, w.SessionEpoch, w.GroupsOpen, w.Groups)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, e := range w.Entries {
		revision := fmt.Sprint(e.Revision)
		if !e.Reached {
			revision = "not reached"
		}
		rows = append(rows, []string{e.Entry, e.Zone, revision})
	}
	return f.WriteTable([]string{"ENTRY", "ZONE", "REVISION"}, rows)
}
