package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
)

// The demand of exchanges, syncs and their replies arrives, and a message without one
// tells nothing.
func TestDemandIsExchanged(t *testing.T) {
	sent := []demand.Rate{{Model: "a", Short: 1.5, Long: 2.25, Age: 120 * time.Millisecond}, {Model: "b"}}
	var got [][]demand.Rate
	handler := func(_ context.Context, r peer.Request) peer.Reply {
		if r.Sync != nil {
			got = append(got, r.Sync.Demand)
			return peer.Reply{Sync: &peer.SyncReply{Demand: r.Sync.Demand}}
		}
		got = append(got, r.Exchange.Demand)
		return peer.Reply{Exchange: &peer.ExchangeReply{Demand: r.Exchange.Demand}}
	}
	withLink(t, handler, func(t *testing.T, l *peer.Link) {
		reply, err := l.Call(context.Background(), peer.Request{Exchange: &peer.Exchange{Demand: sent}})
		require.NoError(t, err)
		require.Equal(t, sent, reply.Exchange.Demand)
		reply, err = l.Call(context.Background(), peer.Request{Sync: &peer.Sync{Demand: sent}})
		require.NoError(t, err)
		require.Equal(t, sent, reply.Sync.Demand)
		_, err = l.Call(context.Background(), peer.Request{Exchange: &peer.Exchange{}})
		require.NoError(t, err)
		require.Equal(t, [][]demand.Rate{sent, sent, nil}, got)
	})
}
