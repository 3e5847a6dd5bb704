package processfleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// pollStep is how often a condition is looked at.
const pollStep = 50 * time.Millisecond

// WaitUntil waits until the condition holds, or fails when ctx ends first.
func WaitUntil(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Errorf("waited in vain for: %s", what)
		case <-time.After(pollStep):
		}
	}
	return nil
}

// WaitGroupsOpen waits until every running entry holds warm permits for all groups.
func (f *Fleet) WaitGroupsOpen(ctx context.Context) error {
	for _, e := range f.Entries {
		err := WaitUntil(ctx, "open groups at "+e.Name, func() bool { return f.open(ctx, e) == f.Plan.GroupsPerZone })
		if err != nil {
			return err
		}
	}
	return nil
}

// open counts the groups for which the entry holds a warm permit.
func (f *Fleet) open(ctx context.Context, e *Entry) int {
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
