package demand

import "time"

const (
	// HistorySpan is how far back a History looks. It covers two waves of a traffic
	// that swings every 13 s.
	HistorySpan = 30 * time.Second
	// sampleInterval is the minimum time between two samples of a History.
	sampleInterval = 500 * time.Millisecond
	// keepFor is how long the last rates are used when there are no newer ones.
	keepFor = 10 * time.Second
)

// History holds the long rates of a zone in the last HistorySpan.
type History struct {
	samples []sample
	// latest holds the newest rates, as of latestAt.
	latest   map[string]float64
	latestAt time.Time
	// since is from when on the rates have been known.
	since time.Time
}

type sample struct {
	at    time.Time
	rates map[string]float64
}

// Add adds the rates of a zone. Without any work, they tell nothing.
func (h *History) Add(now time.Time, rates []Rate) {
	latest := make(map[string]float64, len(rates))
	for _, r := range rates {
		if r.Long > 0 {
			latest[r.Model] = r.Long
		}
	}
	if len(latest) == 0 {
		return
	}
	if !h.Known(now) {
		*h = History{since: now}
	}
	h.latest, h.latestAt = latest, now
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) > HistorySpan {
		h.samples = h.samples[1:]
	}
	if n := len(h.samples); n == 0 || now.Sub(h.samples[n-1].at) >= sampleInterval {
		h.samples = append(h.samples, sample{at: now, rates: latest})
	}
}

// Known reports whether there are rates to plan by.
func (h *History) Known(now time.Time) bool {
	return !h.latestAt.IsZero() && now.Sub(h.latestAt) <= keepFor
}

// KnownFor returns for how long the rates have been known without interruption.
func (h *History) KnownFor(now time.Time) time.Duration {
	if !h.Known(now) {
		return 0
	}
	return now.Sub(h.since)
}

// Current returns the newest rate of a model.
func (h *History) Current(model string) float64 { return h.latest[model] }

// Planned returns the rate of a model to plan by: the higher of the newest one and the
// mean, so that a swing of the traffic does not show in the plan.
func (h *History) Planned(model string) float64 {
	sum := 0.0
	for _, s := range h.samples {
		sum += s.rates[model]
	}
	return max(h.latest[model], sum/float64(max(len(h.samples), 1)))
}

// Peak returns the highest rate of a model.
func (h *History) Peak(model string) float64 {
	peak := h.latest[model]
	for _, s := range h.samples {
		peak = max(peak, s.rates[model])
	}
	return peak
}
