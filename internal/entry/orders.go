package entry

import (
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// encodeOrders returns provisional orders as peers exchange them.
func encodeOrders(orders []config.ProvisionalOrder) []peer.Order {
	list := make([]peer.Order, 0, len(orders))
	for _, p := range orders {
		list = append(list, peer.Order{Number: p.Number, Change: operator.EncodeChange(p.Change)})
	}
	return list
}

// decodeOrders returns the provisional orders that a peer sent. One that can't
// be read is passed over.
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
