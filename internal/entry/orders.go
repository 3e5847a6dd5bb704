package entry

import (
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// encodeOrders converts provisional orders to the messages that peers exchange.
func encodeOrders(orders []config.ProvisionalOrder) []peer.Order {
	list := make([]peer.Order, 0, len(orders))
	for _, p := range orders {
		list = append(list, peer.Order{Number: p.Number, Change: operator.EncodeChange(p.Change)})
	}
	return list
}

// decodeOrders converts the provisional orders that a peer sent. It skips orders that
// can't be decoded or can't be provisional.
func decodeOrders(orders []peer.Order) []config.ProvisionalOrder {
	list := make([]config.ProvisionalOrder, 0, len(orders))
	for _, o := range orders {
		change, err := operator.DecodeChange(o.Change)
		if err != nil || !config.CanBeProvisional(change) {
			continue
		}
		list = append(list, config.ProvisionalOrder{Number: o.Number, Change: change})
	}
	return list
}
