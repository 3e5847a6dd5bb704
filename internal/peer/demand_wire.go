package peer

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
)

type rateWire struct {
	Model string  `cbor:"1,keyasint"`
	Short float64 `cbor:"2,keyasint,omitempty"`
	Long  float64 `cbor:"3,keyasint,omitempty"`
	AgeMS int64   `cbor:"4,keyasint,omitempty"`
}

// maxRateAge limits the age of a received rate, so that it can be added to other
// durations. Rates of that age don't count.
const maxRateAge = time.Hour

func ratesToWire(rates []demand.Rate) []rateWire {
	var wires []rateWire
	for _, r := range rates {
		wires = append(wires, rateWire{Model: r.Model, Short: r.Short, Long: r.Long, AgeMS: r.Age.Milliseconds()})
	}
	return wires
}

func ratesFromWire(wires []rateWire) []demand.Rate {
	var rates []demand.Rate
	for _, w := range wires {
		age := time.Duration(max(min(w.AgeMS, maxRateAge.Milliseconds()), -1)) * time.Millisecond
		rates = append(rates, demand.Rate{Model: w.Model, Short: w.Short, Long: w.Long, Age: age})
	}
	return rates
}
