package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
)

// peerHandler returns the handler of the peer listener.
func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+exchangePath, e.peerServer)
	mux.HandleFunc("POST "+forwardPath+"/", e.callers.serveForward)
	mux.HandleFunc("GET "+revisionPath, e.requirePeerKey(e.operators.serveRevision))
	mux.HandleFunc("GET "+burnPath, e.requirePeerKey(e.operators.serveOwnBurn))
	return e.callers.recoverPanics(mux)
}

// requirePeerKey wraps a handler to reject requests without the peer key.
func (e *Entry) requirePeerKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !peer.Authorized(r, e.peers.key) {
			unauthorised("wrong peer key").Write(w)
			return
		}
		next(w, r)
	}
}

// handlePeerRequest handles one request of a peer. The reply is empty if the request
// has no known kind.
func (e *Entry) handlePeerRequest(ctx context.Context, r peer.Request) peer.Reply {
	var reply peer.Reply
	switch {
	case r.Exchange != nil:
		reply.Exchange = e.handleExchange(*r.Exchange)
	case r.ConfigPull != nil:
		response := e.configurer.handlePull(*r.ConfigPull)
		reply.Config = &response
	case r.Relay != nil:
		response := e.session.handleRelay(ctx, *r.Relay)
		reply.Relay = &response
	}
	return reply
}

// handleExchange applies the usage and the provisional orders of a peer, and grants
// the credits that it requests.
func (e *Entry) handleExchange(message peer.Exchange) *peer.ExchangeReply {
	e.router.chargePeerUsage(message.Usage)
	e.configurer.addProvisionalOrders(decodeOrders(message.Orders))
	reply := &peer.ExchangeReply{
		Entry: e.settings.Name, Zone: e.settings.Zone,
		Revision: e.config.State().Revision(), Ready: e.Ready(),
		Orders: encodeOrders(e.config.ProvisionalOrders()),
	}
	now := time.Now()
	for _, req := range message.CreditRequests {
		if grant, ok := e.watches.grant(now, req); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}
