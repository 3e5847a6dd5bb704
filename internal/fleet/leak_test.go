package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hibiscuspulley/hibiscuspulley/internal/fleet"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

func TestNothingLeaksOverRealSockets(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := fleet.Start(ctx, oneZone(), standin.NewLoopback(), t.Output())
	require.NoError(t, err)
	defer f.Close()
	require.NoError(t, f.WaitGroupsOpen(ctx))
	m := f.Entries()[0]
	requireWhole(t, generate(ctx, f, m, "x", 5), "x", 5)
	short, leave := context.WithTimeout(ctx, 50*time.Millisecond)
	defer leave()
	generate(short, f, m, "y", 1000)
	post(ctx, t, f, "/v1/chat/completions", "wrong", "garbage")
	require.NoError(t, m.Entry.Shutdown(ctx))
	f.Remove(m)
}
