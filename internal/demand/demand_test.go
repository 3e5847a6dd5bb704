package demand_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// A request of 1000 prompt and 1000 response tokens takes 1 s + 1000 x (10/10 + 1) ms.
var engine = &routes.Engine{
	Slots: 10, StepTime: 10 * time.Millisecond, SequenceTime: time.Millisecond, PrefillRate: 1000,
	Models: []routes.Model{{Name: "a", TimeScale: 1}, {Name: "b", TimeScale: 0.5}},
}

func request(model string) demand.Request {
	return demand.Request{Model: model, PromptTokens: 1000, ResponseTokens: 1000, Timeout: 8 * time.Second}
}

func TestRatesOfTwoSpans(t *testing.T) {
	m, now := demand.NewMeter(), time.Unix(1000, 0)
	for i := range 20 * 10 {
		model := "a"
		if i >= 18*10 {
			model = "b" // only in the last two seconds
		}
		m.Record(now, engine, request(model))
		now = now.Add(100 * time.Millisecond)
	}
	rates := m.Rates(now)
	require.Len(t, rates, 2)
	require.InDelta(t, 0, rates[0].Short, 0.001)
	require.InDelta(t, 24, rates[0].Long, 0.5)
	require.InDelta(t, 15, rates[1].Short, 0.5)
	require.InDelta(t, 3, rates[1].Long, 0.2)
	require.Empty(t, m.Rates(now.Add(11*time.Second)))
}

// Guards against a plan that waits for 10 s of requests, and against a rate that one
// request in the first moment makes high.
func TestFirstRatesAreThoseOfTheTimeSinceTheFirstRequest(t *testing.T) {
	m, now := demand.NewMeter(), time.Unix(1000, 0)
	m.Record(now, engine, request("a"))
	require.InDelta(t, 1.5, m.Rates(now)[0].Long, 0.001)
	for range 39 {
		now = now.Add(100 * time.Millisecond)
		m.Record(now, engine, request("a"))
	}
	require.InDelta(t, 30, m.Rates(now)[0].Long, 1)
}

// Guards against demand that callers make up: by repeating a rejected request, or by
// stating lengths that no response can have, of models that don't exist.
func TestRepetitionsAndAbsurdRequestsCountLittle(t *testing.T) {
	m, now := demand.NewMeter(), time.Unix(1000, 0)
	r := request("a")
	r.Content = "part"
	for range 7 {
		m.Record(now, engine, r)
		now = now.Add(time.Second)
	}
	require.InDelta(t, 3, m.Rates(now)[0].Long*7, 0.001)
	m.Record(now.Add(time.Second), engine, r)
	require.InDelta(t, 6, m.Rates(now.Add(time.Second))[0].Long*8, 0.001, "after its timeout it counts again")

	m = demand.NewMeter()
	r.PromptTokens, r.ResponseTokens = math.MaxInt, math.MaxInt
	m.Record(now, engine, r)
	m.Record(now, engine, request("unknown"))
	m.Record(now, engine, demand.Request{Model: "a", PromptTokens: -5, ResponseTokens: -5, Timeout: time.Second})
	require.Equal(t, []demand.Rate{{Model: "a", Short: 4, Long: 4}}, m.Rates(now))
}

func TestInvalidReportsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	b := demand.NewBook()
	good := demand.Rate{Model: "a", Short: 1, Long: 2}
	require.NoError(t, b.Set(now, "e-1", "z", []demand.Rate{good}))
	for _, bad := range []demand.Rate{
		{Model: "a", Short: -1}, {Model: "a", Long: math.NaN()}, {Model: "a", Long: math.Inf(1)}, {Model: "a", Short: 10_001}, {Model: "a", Age: -1},
	} {
		require.Error(t, b.Set(now, "e-1", "z", []demand.Rate{good, bad}), fmt.Sprint(bad))
	}
	require.Error(t, b.Set(now, "e-1", "z", make([]demand.Rate, 1000)))
	require.NoError(t, b.Set(now, "e-1", "z", nil))
	require.Equal(t, []demand.Rate{good}, b.Rates(now, "z", "e-9"))
}

// Reports are summed up by zone, and a relay's report is as old as its oldest part.
func TestOldReportsAndOtherZonesDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	b := demand.NewBook()
	require.NoError(t, b.Set(now, "e-1", "z", []demand.Rate{{Model: "a", Long: 1, Age: 2 * time.Second}, {Model: "b", Long: 1}}))
	require.NoError(t, b.Set(now, "e-2", "z", []demand.Rate{{Model: "a", Long: 2}}))
	require.NoError(t, b.Set(now, "e-3", "y", []demand.Rate{{Model: "a", Long: 4}}))
	second := now.Add(time.Second)
	require.Equal(t, []demand.Rate{{Model: "a", Long: 3, Age: 3 * time.Second}, {Model: "b", Long: 1, Age: time.Second}}, b.Rates(second, "z", "e-9"))
	require.Equal(t, []demand.Rate{{Model: "a", Long: 2, Age: 2 * time.Second}, {Model: "b", Long: 1, Age: 2 * time.Second}}, b.Rates(now.Add(2*time.Second), "z", "e-9"))
	require.Empty(t, b.Rates(now.Add(4*time.Second), "z", "e-9"))
}

// Guards against a plan that follows each wave: it uses the mean of 30 s when the
// newest rate is lower, and the last rates for 10 s when there are no newer ones.
func TestHistory(t *testing.T) {
	var h demand.History
	now := time.Unix(1000, 0)
	for i := range 46 {
		rate := 1.0
		if i%26 < 13 {
			rate = 3
		}
		h.Add(now, []demand.Rate{{Model: "a", Long: rate}})
		now = now.Add(500 * time.Millisecond)
	}
	require.InDelta(t, 3, h.Peak("a"), 0)
	require.InDelta(t, 1, h.Current("a"), 0)
	require.InDelta(t, 98.0/46, h.Planned("a"), 0.01)
	require.Zero(t, h.Planned("b"))
	h.Add(now, nil)
	require.True(t, h.Known(now.Add(9*time.Second)))
	require.False(t, h.Known(now.Add(10*time.Second)))
	h.Add(now.Add(20*time.Second), []demand.Rate{{Model: "a", Long: 1}})
	require.InDelta(t, 1, h.Peak("a"), 0, "what was before the gap is forgotten")
	require.Zero(t, h.KnownFor(now.Add(20*time.Second)))
}
