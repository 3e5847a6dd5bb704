package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// holdLease writes a live controller lease of another process.
func (s *site) holdLease(entry, address string) {
	_, err := s.store.Client("other").Commit(s.t.Context(), store.Transaction{Puts: []store.Put{{
		RowKey: store.RowKey{Table: "stewards", Partition: "a", Key: "holder"},
		Value: membership.Encode(membership.Session{
			Entry: entry, Zone: "a", Address: address, Incarnation: "before", Epoch: 3, Counter: 7, State: membership.Live,
		}),
	}}})
	require.NoError(s.t, err)
}

// All processes were killed. The entry that held the lease must acquire it as
// soon as it restarts, because its earlier process has ended.
func TestARestartedLeaseHolderReacquiresItsLeaseAtOnce(t *testing.T) {
	run(t, func(s *site) { s.holdLease("a-1", peerAddress) }, func(s *site) {
		require.Contains(t, s.logs.String(), `"term":4`)
	})
}

func TestLeaseOfAnotherEntryIsAcquiredOnlyAfterItExpires(t *testing.T) {
	for name, holder := range map[string][2]string{
		"another entry": {"a-2", "10.0.0.2:82"}, "an instance of the same name": {"a-1", "10.0.0.9:82"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *site) { s.holdLease(holder[0], holder[1]) }, func(s *site) {
				time.Sleep(2 * time.Second)
				require.False(t, strings.Contains(s.logs.String(), `"term":4`))
				time.Sleep(3 * time.Second)
				require.Contains(t, s.logs.String(), `"term":4`)
			})
		})
	}
}
