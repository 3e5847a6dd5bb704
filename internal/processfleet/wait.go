package processfleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// WaitUntil waits until the condition holds. It fails if ctx ends first.
func WaitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out waiting for: %s", description)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// WaitGroupsOpen waits until every entry holds valid, warm permits for all
// groups.
func (f *Fleet) WaitGroupsOpen(ctx context.Context) error {
	for _, e := range f.Entries {
		err := WaitUntil(ctx, "open groups at "+e.Name, func() bool { return f.countOpenGroups(ctx, e) == f.Plan.GroupsPerZone })
		if err != nil {
			return err
		}
	}
	return nil
}

// countOpenGroups returns the number of groups for which the entry holds a
// valid, warm permit, -1 if its status can't be read.
func (f *Fleet) countOpenGroups(ctx context.Context, e *Entry) int {
	status, err := f.Client(e).Status(ctx)
	if err != nil {
		return -1
	}
	open := 0
	for _, g := range status.Groups {
		if g.Valid && !g.Cold {
			open++
		}
	}
	return open
}
