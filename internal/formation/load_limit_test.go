package formation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
)

// Guards against overloading the weight store: as many servers as it could serve at once
// are free, but they begin to load only at the rate that it allows.
func TestLoadsKeepToTheWeightStoresRate(t *testing.T) {
	const perSecond = 4
	w := newSimulation(40)
	w.engine.LoadsPerSecond, w.engine.MaxConcurrentLoads = perSecond, 40
	began := make(map[string]time.Time)
	for range int(20 * time.Second / tick) {
		w.advance()
		w.publish()
		for _, o := range w.stepDecision(noDelay).Orders {
			if _, known := began[o.Server]; !known && (o.Operation == formation.Join || o.Operation == formation.Stage) {
				began[o.Server] = w.now
			}
		}
	}
	require.Len(t, began, 40, strings.Join(w.trace, "\n"))
	for _, from := range began {
		n := 0
		for _, at := range began {
			if !at.Before(from) && at.Sub(from) < time.Second {
				n++
			}
		}
		// A full bucket and what flows in meanwhile.
		require.LessOrEqual(t, n, 2*perSecond, "loads began in the second from %s", from)
	}
}
