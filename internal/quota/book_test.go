package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

var (
	began  = time.Unix(1000, 0)
	server = registry.Incarnation{ID: "i-1", StartTime: 7}
)

func TestALimitHoldsUntilAResponseNamesNone(t *testing.T) {
	b := quota.NewBook()
	_, changed := b.Observe(began, server, 0)
	require.False(t, changed)
	_, changed = b.Observe(began, server, 5.5)
	require.True(t, changed)
	require.InDelta(t, 5.5, b.Rate(server), 1e-9)
	_, changed = b.Observe(began.Add(time.Hour), server, 5.5)
	require.False(t, changed)
	previous, changed := b.Observe(began.Add(2*time.Hour), server, 0)
	require.True(t, changed)
	require.InDelta(t, 5.5, previous, 1e-9)
	require.Zero(t, b.Rate(server))
	require.Zero(t, b.Limited())
}

func TestLimitsOfServersThatAreGoneAreForgotten(t *testing.T) {
	b := quota.NewBook()
	b.Observe(began, server, 5.5)
	none := func(registry.Incarnation) bool { return false }
	b.Retain(began.Add(time.Second), none)
	require.Equal(t, 1, b.Limited())
	b.Retain(began.Add(time.Minute), none)
	require.Zero(t, b.Limited())
}
