package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Key returns the bearer key of an organisation, counted from 0.
func Key(organisation int) string {
	return fmt.Sprintf("key-of-organisation-%d", organisation)
}

// OrganisationName returns the name of an organisation, counted from 0.
func OrganisationName(organisation int) string {
	return fmt.Sprintf("organisation-%d", organisation)
}

// configure applies the configuration of the fleet's services and organisations.
func (f *Fleet) configure(ctx context.Context) error {
	client := f.Operator(f.Entries()[0])
	for _, change := range f.changes() {
		change.Author = Author
		if _, err := client.Apply(ctx, change); err != nil {
			return errors.Wrapf(err, "configure %s %s", change.Kind, change.Name)
		}
	}
	return nil
}

func (f *Fleet) changes() []operator.Change {
	model := &operator.Service{
		Name: ModelName, Kind: operator.ModelService, GroupSize: f.Plan.GroupSize,
		Slots: f.Plan.Speed.Slots, ColdLimit: f.Plan.Speed.ColdLimit,
		Objectives: operator.Objectives{FirstToken: 460 * time.Millisecond, BetweenTokens: 30 * time.Millisecond, Target: 0.95},
	}
	for _, zone := range f.Plan.Zones {
		model.Groups = append(model.Groups, operator.ZoneGroups{Zone: zone, Count: f.Plan.GroupsPerZone})
	}
	plain := &operator.Service{Name: ServiceName, Kind: operator.PlainService}
	changes := []operator.Change{
		{Kind: operator.KindService, Name: ModelName, Service: model},
		{Kind: operator.KindService, Name: ServiceName, Service: plain},
	}
	for i := range f.Plan.Organisations {
		name := OrganisationName(i)
		changes = append(changes, operator.Change{
			Kind: operator.KindOrganisation, Name: name,
			Organisation: &operator.Organisation{Name: name, KeyHashes: []string{operator.HashKey(Key(i))}},
		})
	}
	return changes
}

// SetZoneOut takes a zone out of service or returns it. It sets the same state
// at the zone's engine stand-ins, which count the requests that still arrive.
func (f *Fleet) SetZoneOut(ctx context.Context, m *Entry, zone string, out bool, reason string) error {
	client := f.Operator(m)
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, operator.Change{
		Base: configuration.Revision, Author: Author, Reason: reason,
		Kind: operator.KindZone, Name: zone, Zone: &operator.Zone{Name: zone, Out: out},
	})
	if err != nil {
		return err
	}
	for _, i := range f.Engines() {
		if i.Zone == zone {
			i.Engine.SetZoneOut(out)
		}
	}
	return nil
}
