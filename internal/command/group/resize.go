package group

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ResizeOptions holds the options of group create and group delete.
type ResizeOptions struct {
	Factory *factory.Factory
	Service string
	Zone    string
	Count   int
	Reason  string
	// Sign is 1 to add groups and -1 to remove them.
	Sign int
}

func newResize(parent *kingpin.CmdClause, f *factory.Factory, verb, help string, sign int) {
	opts := &ResizeOptions{Factory: f, Sign: sign}
	cmd := parent.Command(verb, help+"\n\nExample:\n  hibiscuspulley group "+verb+" yard-notes --zone a --count 2")
	cmd.Arg("service", "Service.").Required().StringVar(&opts.Service)
	cmd.Flag("zone", "Availability zone.").Required().StringVar(&opts.Zone)
	cmd.Flag("count", "Number of groups.").Default("1").IntVar(&opts.Count)
	cmd.Flag("reason", "Reason to record in the history of changes.").StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunResize(ctx, opts) })
	})
}

// RunResize changes the number of replica groups of a service in a zone.
func RunResize(ctx context.Context, opts *ResizeOptions) error {
	client, configuration, err := opts.Factory.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	change, err := factory.Entity(configuration, operator.KindService, opts.Service)
	if err != nil {
		return err
	}
	s := *change.Service
	count := s.GroupsIn(opts.Zone) + opts.Sign*opts.Count
	if count < 0 {
		return errors.Errorf("service %s has only %d groups in zone %s", s.Name, s.GroupsIn(opts.Zone), opts.Zone)
	}
	s.Groups = withCount(s.Groups, opts.Zone, count)
	return opts.Factory.Apply(ctx, client, operator.Change{
		Base: configuration.Revision, Kind: operator.KindService, Name: s.Name,
		Reason: opts.Reason, Service: &s,
	})
}

func withCount(groups []operator.ZoneGroups, zone string, count int) []operator.ZoneGroups {
	next := append([]operator.ZoneGroups(nil), groups...)
	for i := range next {
		if next[i].Zone == zone {
			next[i].Count = count
			return next
		}
	}
	return append(next, operator.ZoneGroups{Zone: zone, Count: count})
}
