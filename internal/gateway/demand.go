package gateway

import (
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

const (
	// invalidDemandInterval is the minimum time between two log lines about invalid
	// reports of the same entry.
	invalidDemandInterval = 10 * time.Second
	// demandSilence is how long a hub of the zone must not have been heard of for the
	// zone's demand to count as known in part only. Hubs exchange every 60 ms.
	demandSilence = 3 * time.Second
)

// relayReport is the name under which what a relay told is kept.
const relayReport = "relay"

// demands measures the work that callers' requests bring, tells it to the other entries
// and collects what they tell.
type demands struct {
	gateway *Gateway
	meter   *demand.Meter
	// askers holds the reports of the entries that this one relays for, hubs those of
	// the other hubs, which include the entries that they relay for.
	askers, hubs *demand.Book
	// relay holds what this entry's relay last told of all other entries.
	relay *demand.Book

	mu sync.Mutex
	// heardAt is when each hub was last heard of, invalidAt when an invalid report of
	// an entry was last logged.
	heardAt, invalidAt map[string]time.Time
	// plan is the last plan of the zone's controller, if this entry runs it.
	plan formation.PlanReport
}

func newDemands(g *Gateway) *demands {
	return &demands{
		gateway: g, meter: demand.NewMeter(), askers: demand.NewBook(), hubs: demand.NewBook(), relay: demand.NewBook(),
		heardAt: make(map[string]time.Time), invalidAt: make(map[string]time.Time),
	}
}

// publish adds the plan of the zone's controller to the metrics.
func (d *demands) publish(vars *expvar.Map) {
	byModel := func(value func(formation.ModelPlan) any) expvar.Func {
		return func() any {
			d.mu.Lock()
			defer d.mu.Unlock()
			values := make(map[string]any)
			if !d.gateway.control.isHolder.Load() {
				return values
			}
			for _, m := range d.plan.Models {
				values[m.Model] = value(m)
			}
			return values
		}
	}
	vars.Set("groups-needed", byModel(func(m formation.ModelPlan) any { return m.Needed }))
	vars.Set("groups-target", byModel(func(m formation.ModelPlan) any { return m.Target }))
	vars.Set("groups-existing", byModel(func(m formation.ModelPlan) any { return m.Existing }))
}

// record measures a model request that has arrived. Only the service whose replica
// groups the entries form is measured.
func (d *demands) record(c *call) {
	if c.route.Kind != routes.Streaming || c.info.Model == "" {
		return
	}
	service, engine := modelService(c.table)
	if engine == nil || service != c.service || len(engine.Models) < 2 {
		return
	}
	d.meter.Record(c.started, engine, demand.Request{
		Model: c.info.Model, PromptTokens: c.info.PromptTokens, ResponseTokens: c.expectedTokens(engine),
		Content: c.contentID(), Timeout: c.deadline.Sub(c.started),
	})
}

// expectedTokens returns the expected length of the response: the caller's estimate, or
// else the mean of all responses, within the request's limit.
func (c *call) expectedTokens(e *routes.Engine) int {
	tokens := c.info.HintTokens
	if tokens <= 0 {
		tokens = e.MeanResponseTokens
	}
	if c.info.MaxTokens > 0 && (tokens <= 0 || tokens > c.info.MaxTokens) {
		tokens = c.info.MaxTokens
	}
	return tokens
}

// subtree returns the rates of this entry and of those that it relays for.
func (d *demands) subtree(now time.Time) []demand.Rate {
	return demand.Sum(d.meter.Rates(now), d.askers.Rates(now, d.gateway.settings.Zone, ""))
}

// hearAsker takes the report of an entry that this one relays for.
func (d *demands) hearAsker(now time.Time, entry string, rates []demand.Rate) {
	if err := d.askers.Set(now, entry, d.gateway.settings.Zone, rates); err != nil {
		d.logInvalid(now, entry, err)
	}
}

// hearHub takes the report of another hub, which may be empty.
func (d *demands) hearHub(now time.Time, entry, zone string, rates []demand.Rate) {
	d.mu.Lock()
	d.heardAt[entry] = now
	d.mu.Unlock()
	if err := d.hubs.Set(now, entry, zone, rates); err != nil {
		d.logInvalid(now, entry, err)
	}
}

// hearRelay takes the demand of the zone's other entries from a relay. It replaces that
// of the relay before.
func (d *demands) hearRelay(now time.Time, entry string, rates []demand.Rate) {
	if err := d.relay.Set(now, relayReport, d.gateway.settings.Zone, rates); err != nil {
		d.logInvalid(now, entry, err)
	}
}

func (d *demands) logInvalid(now time.Time, entry string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, found := d.invalidAt[entry]; found && now.Sub(at) < invalidDemandInterval {
		return
	}
	d.invalidAt[entry] = now
	event.DemandInvalid.Log(d.gateway.logger, logrus.Fields{"entry": entry, "error": err})
}

// zone returns the demand of this entry's zone: a hub knows it from the other hubs, and
// any other entry from its relay.
func (d *demands) zone(now time.Time) formation.Demand {
	if d.gateway.settings.Planning == settings.PlanByShare {
		return formation.Demand{}
	}
	zone := d.gateway.settings.Zone
	if _, hub := d.gateway.relays.hubs(); hub {
		return formation.Demand{Rates: demand.Sum(d.subtree(now), d.hubs.Rates(now, zone, "")), Partial: !d.complete(now)}
	}
	told := d.relay.Rates(now, zone, "")
	if len(told) == 0 {
		return formation.Demand{}
	}
	return formation.Demand{Rates: demand.Sum(d.subtree(now), told)}
}

// shares returns this entry's part of the zone's requests, by model, as far as it is
// known.
func (d *demands) shares(now time.Time) map[string]float64 {
	shares := make(map[string]float64)
	zone := make(map[string]float64)
	for _, r := range d.zone(now).Rates {
		zone[r.Model] = r.Short + r.Long
	}
	for _, own := range d.meter.Rates(now) {
		if zone[own.Model] > 0 {
			shares[own.Model] = (own.Short + own.Long) / zone[own.Model]
		}
	}
	return shares
}

// without returns the demand of the zone without that of an entry that this one relays
// for. It returns nothing if this entry does not know all of it.
func (d *demands) without(now time.Time, entry string) []demand.Rate {
	if _, hub := d.gateway.relays.hubs(); !hub || !d.complete(now) {
		return nil
	}
	zone := d.gateway.settings.Zone
	return demand.Sum(d.meter.Rates(now), d.askers.Rates(now, zone, entry), d.hubs.Rates(now, zone, ""))
}

// complete reports whether all hubs of the zone were heard of lately.
func (d *demands) complete(now time.Time) bool {
	hubs, _ := d.gateway.relays.hubs()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hubs {
		at, heard := d.heardAt[h.Name]
		if h.Zone == d.gateway.settings.Zone && h.Name != d.gateway.settings.Name && (!heard || now.Sub(at) > demandSilence) {
			return false
		}
	}
	return true
}

// reportPlan logs a plan if it has changed, and keeps it for the metrics. A
// nil plan is ignored.
func (d *demands) reportPlan(p *formation.PlanReport) {
	if p == nil {
		return
	}
	d.mu.Lock()
	basisChanged := d.plan.ByDemand != p.ByDemand
	d.plan = *p
	d.mu.Unlock()
	if basisChanged {
		event.PlanBasisChanged.Log(d.gateway.logger, logrus.Fields{"by-demand": p.ByDemand})
	}
	if !p.Changed || len(p.Models) == 0 {
		return
	}
	fields := logrus.Fields{"spares": p.Spares, "idle": p.Idle, "by-demand": p.ByDemand}
	for _, m := range p.Models {
		fields["needed-"+m.Model] = math.Round(m.Needed*10) / 10
		fields["target-"+m.Model], fields["existing-"+m.Model] = m.Target, m.Existing
	}
	event.PlanChanged.Log(d.gateway.logger, fields)
}
