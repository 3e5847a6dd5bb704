package peer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	serverAddress = "10.0.0.1:82"
	peerKey       = "between entries"
)

// withLink runs a test in virtual time, with a link to a server that uses the
// handler.
func withLink(t *testing.T, handler peer.Handler, test func(t *testing.T, l *peer.Link)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemory()
		listener, err := network.Listener("a")("tcp", serverAddress)
		require.NoError(t, err)
		server := peer.NewServer(peerKey, handler, func(string) {})
		httpServer := &http.Server{Handler: server}
		go func() { _ = httpServer.Serve(listener) }() // ends with Close
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dialer("a")}}
		link := peer.NewLink("ws://"+serverAddress, peerKey, peer.WithHTTPClient(client))
		time.Sleep(100 * time.Millisecond)
		require.True(t, link.Connected())
		defer func() {
			link.Close()
			server.Close()
			require.NoError(t, httpServer.Close())
			client.CloseIdleConnections()
		}()
		test(t, link)
	})
}

// An exchange carries the permits. It must not wait behind a relayed write on the
// same connection that waits for an unresponsive platform.
func TestSlowRelayDoesNotBlockExchange(t *testing.T) {
	handler := func(_ context.Context, r peer.Request) peer.Reply {
		if r.Relay != nil {
			time.Sleep(time.Second)
			return peer.Reply{Relay: &peer.RelayReply{}}
		}
		return peer.Reply{Exchange: &peer.ExchangeReply{Entry: "a-2"}}
	}
	withLink(t, handler, func(t *testing.T, l *peer.Link) {
		relayed := make(chan error, 1)
		go func() {
			_, err := l.Call(context.Background(), peer.Request{Relay: &peer.Relay{Key: "session"}})
			relayed <- err
		}()
		synctest.Wait()
		start := time.Now()
		reply, err := l.Call(context.Background(), peer.Request{Exchange: &peer.Exchange{Entry: "a-1"}})
		require.NoError(t, err)
		require.Equal(t, "a-2", reply.Exchange.Entry)
		require.Zero(t, time.Since(start))
		require.NoError(t, <-relayed, "the relay gets its reply on the same connection")
	})
}
