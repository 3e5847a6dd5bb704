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
	mux.HandleFunc("GET "+revisionPath, e.forPeers(e.operators.serveRevision))
	mux.HandleFunc("GET "+burnPath, e.forPeers(e.operators.serveOwnBurn))
	return e.callers.recoverPanics(mux)
}

// forPeers admits holders of the peer key to a handler.
func (e *Entry) forPeers(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !peer.Authorized(r, e.peers.key) {
			unauthorised("wrong peer key").Write(w)
			return
		}
		next(w, r)
	}
}

// handlePeerRequest answers one request of a peer.
func (e *Entry) handlePeerRequest(ctx context.Context, r peer.Request) peer.Reply {
	var reply peer.Reply
	switch {
	case r.Exchange != nil:
		reply.Exchange = e.answerExchange(*r.Exchange)
	case r.ConfigPull != nil:
		answer := e.configurer.answerPull(*r.ConfigPull)
		reply.Config = &answer
	case r.Relay != nil:
		answer := e.session.answerRelay(ctx, *r.Relay)
		reply.Relay = &answer
	}
	return reply
}

func (e *Entry) answerExchange(message peer.Exchange) *peer.ExchangeReply {
	e.router.noteUsage(message.Usage)
	e.configurer.addProvisionalOrders(decodeOrders(message.Orders))
	reply := &peer.ExchangeReply{
		Entry: e.settings.Name, Zone: e.settings.Zone,
		Revision: e.config.State().Revision(), Ready: e.Ready(),
		Orders: encodeOrders(e.config.ProvisionalOrders()),
	}
	now := time.Now()
	for _, d := range message.CreditRequests {
		if grant, ok := e.watches.grant(now, d); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}
