package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// timedGroup returns a balancer with one group of four slots, each of which a request
// holds for 400 ms, and which has the other entries' requests in flight.
func timedGroup(inFlight int) *dispatch.Balancer {
	b := balancer(0, leader("s1", "a"))
	b.SetTable(routes.NewTable(routes.Config{Services: []routes.Service{{Name: "notes", Engine: &routes.Engine{
		Slots: slots, StepTime: 2 * time.Millisecond, PrefillRate: 1e6, MeanResponseTokens: 200,
		Models: []routes.Model{{Name: "large", TimeScale: 1}},
	}}}}))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: inFlight}})
	return b
}

// Guards against a full group that is taken for stalled, by all entries once one has told
// them: a request that waits there for a slot gets no event meanwhile.
func TestWaitingForASlotIsNoStall(t *testing.T) {
	b := timedGroup(slots)
	r := b.Reserve(start, notes)
	require.NotNil(t, r)
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 2 * slots}})
	require.False(t, r.Stalled(start.Add(900*time.Millisecond)), "five requests wait 100 ms each for a slot")
	require.Empty(t, b.Stalled(start.Add(900*time.Millisecond)))
	require.True(t, r.Stalled(start.Add(1100*time.Millisecond)))
}

// Guards against a stalled group that is found too late because it is full: a stream that
// has begun must advance.
func TestAStreamThatHasBegunMustAdvance(t *testing.T) {
	b := timedGroup(slots)
	r := b.Reserve(start, notes)
	require.NotNil(t, r)
	r.RecordProgress(start.Add(100 * time.Millisecond))
	b.SetPeerLoads(map[registry.Incarnation]dispatch.PeerLoad{{ID: "s1", StartTime: 1}: {InFlight: 2 * slots}})
	require.False(t, r.Stalled(start.Add(600*time.Millisecond)))
	require.True(t, r.Stalled(start.Add(700*time.Millisecond)))
}

// Guards against an idle group that accepts requests and does not begin them.
func TestARequestThatDoesNotBeginAtAnIdleGroupIsAStall(t *testing.T) {
	r := timedGroup(0).Reserve(start, notes)
	require.NotNil(t, r)
	require.True(t, r.Stalled(start.Add(600*time.Millisecond)))
}
