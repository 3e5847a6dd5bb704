package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// startPlatform starts a stand-in platform and returns it with a client.
func startPlatform(t *testing.T) (*standin.Platform, *platform.Client) {
	t.Helper()
	p := standin.NewPlatform()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	c := platform.NewClient(server.URL,
		platform.WithObjects(server.URL+"/objects"), platform.WithInstances(server.URL+"/instances"))
	t.Cleanup(c.Close)
	return p, c
}

// putAt returns a transaction that writes a row if it has the given version.
func putAt(key, value string, version int64) platform.Transaction {
	return platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: version}},
		Puts:     []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

func ExampleClient_Commit() {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	c := platform.NewClient(server.URL)
	defer c.Close()
	ctx := context.Background()
	first, _ := c.Commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: "k", Version: 0}},
		Puts:     []platform.Put{{Key: "k", Value: []byte("one")}},
	})
	again, _ := c.Commit(ctx, platform.Transaction{
		Compares: []platform.Compare{{Key: "k", Version: 0}},
		Puts:     []platform.Put{{Key: "k", Value: []byte("two")}},
	})
	fmt.Println(first.Succeeded, again.Succeeded)
	// Output: true false
}

func TestCommitIsAllOrNothing(t *testing.T) {
	_, c := startPlatform(t)
	ctx := context.Background()
	first, err := c.Commit(ctx, putAt("a", "1", 0))
	require.NoError(t, err)
	both := platform.Transaction{
		Compares: []platform.Compare{{Key: "a", Version: first.Version}, {Key: "b", Version: 7}},
		Puts:     []platform.Put{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}},
	}
	outcome, err := c.Commit(ctx, both)
	require.NoError(t, err)
	require.False(t, outcome.Succeeded)
	row, found, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "1", string(row.Value))
	_, found, err = c.Get(ctx, "b")
	require.NoError(t, err)
	require.False(t, found)
}

func TestCommitReadsBackAfterALostResponse(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	p.SetFaults(standin.PlatformFaults{LoseResponses: true})
	outcome, err := c.Commit(ctx, putAt("a", "attempt-1", 0))
	require.NoError(t, err)
	require.True(t, outcome.Succeeded)
	row, _, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, row.Version, outcome.Version)
	// This attempt compares with a version that is no longer current. The row
	// holds another attempt's value, which does not show whether this attempt
	// failed or was overwritten.
	_, err = c.Commit(ctx, putAt("a", "attempt-2", 0))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
}

func TestOutageIsUnavailableNotUnknownOutcome(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	p.SetFaults(standin.PlatformFaults{Outage: true})
	_, err := c.Commit(ctx, putAt("a", "1", 0))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = c.Range(ctx, "a")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	p.SetFaults(standin.PlatformFaults{WritesPerSecond: 1})
	_, err = c.Commit(ctx, putAt("a", "1", 0))
	require.NoError(t, err)
	_, err = c.Commit(ctx, putAt("b", "1", 0))
	require.ErrorIs(t, err, platform.ErrUnavailable, "beyond the rate limit")
}

func TestChangedReturnsOnlyRowsWrittenSince(t *testing.T) {
	_, c := startPlatform(t)
	ctx := context.Background()
	for i := range 3 {
		_, err := c.Commit(ctx, putAt(fmt.Sprintf("k/%d", i), "1", 0))
		require.NoError(t, err)
	}
	rows, revision, err := c.Changed(ctx, "k/", 0)
	require.NoError(t, err)
	require.Len(t, rows, 3)
	rows, _, err = c.Changed(ctx, "k/", revision)
	require.NoError(t, err)
	require.Empty(t, rows)
	_, err = c.Commit(ctx, putAt("k/1", "2", versionOf(t, c, "k/1")))
	require.NoError(t, err)
	rows, _, err = c.Changed(ctx, "k/", revision)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, "k/1", rows[0].Key)
}

func versionOf(t *testing.T, c *platform.Client, key string) int64 {
	t.Helper()
	row, found, err := c.Get(context.Background(), key)
	require.NoError(t, err)
	require.True(t, found)
	return row.Version
}

func TestInstancesAreCachedUntilTheListChanges(t *testing.T) {
	p, c := startPlatform(t)
	ctx := context.Background()
	p.SetInstances([]standin.InstanceLabels{{
		Targets: []string{"10.0.0.1:1"}, Labels: map[string]string{"instance": "i", "zone": "a", "leaving": "true"},
	}})
	for range 2 {
		list, err := c.Instances(ctx)
		require.NoError(t, err)
		require.Equal(t, []platform.Instance{{Name: "i", Address: "10.0.0.1:1", Zone: "a", Leaving: true}}, list)
	}
	p.SetInstances(nil)
	list, err := c.Instances(ctx)
	require.NoError(t, err)
	require.Empty(t, list)
}

func TestObjectRoundTrip(t *testing.T) {
	_, c := startPlatform(t)
	ctx := context.Background()
	require.NoError(t, c.PutObject(ctx, "snapshot", []byte("body")))
	body, err := c.GetObject(ctx, "snapshot")
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	_, err = c.GetObject(ctx, "nothing")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
