package entry

import (
	"context"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/burn"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

const (
	burnPath     = "/burn"
	maxBurnBytes = 16 << 20
)

// burnCollector counts how requests met their objectives here, and gathers the
// counts of all entries.
type burnCollector struct {
	zone     string
	recorder *burn.Recorder
	peers    *peers
}

// record counts a model request that ended. A caller that left counts for none.
func (b *burnCollector) record(g *generation, refused *caller.Error, left bool) {
	if left {
		return
	}
	now := time.Now()
	add := func(objective burn.Objective, good bool) {
		b.recorder.Add(now, burn.Key{
			Service: g.requirements.service.Name, Organisation: g.requirements.organisation, Objective: objective,
		}, good)
	}
	whole := refused == nil
	add(burn.Availability, whole)
	objectives := g.requirements.service.Objectives
	if objectives.FirstToken > 0 {
		add(burn.FirstToken, whole && g.timeToFirstToken() <= objectives.FirstToken)
	}
	if objectives.BetweenTokens > 0 && g.tokens > 1 {
		add(burn.BetweenTokens, whole && g.meanTokenInterval() <= objectives.BetweenTokens)
	}
}

// own returns the counts of this entry.
func (b *burnCollector) own() operator.BurnReport {
	var r operator.BurnReport
	for _, s := range b.recorder.Sums(time.Now()) {
		r.Counts = append(r.Counts, operator.ObjectiveCounts{
			Service: s.Service, Organisation: s.Organisation, Zone: b.zone,
			Objective: string(s.Objective), Window: s.Window, Good: s.Good, Bad: s.Bad,
		})
	}
	return r
}

// gather returns the counts of all entries that answer.
func (b *burnCollector) gather(ctx context.Context) operator.BurnReport {
	report := b.own()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range b.peers.view().Sessions {
		if s.State != membership.Live || s.Entry == b.peers.identity.Entry {
			continue
		}
		wg.Go(func() {
			part, err := b.ask(ctx, s.Session)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Unreached = append(report.Unreached, s.Entry)
				return
			}
			report.Counts = append(report.Counts, part.Counts...)
		})
	}
	wg.Wait()
	sort.Strings(report.Unreached)
	return report
}

func (b *burnCollector) ask(ctx context.Context, s membership.Session) (operator.BurnReport, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	url := b.peers.httpScheme() + "://" + s.Address + burnPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return operator.BurnReport{}, err
	}
	request.Header.Set("Authorization", "Bearer "+b.peers.key)
	reply, err := b.peers.client.Do(request)
	if err != nil {
		return operator.BurnReport{}, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return operator.BurnReport{}, errors.New(reply.Status)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBurnBytes))
	if err != nil {
		return operator.BurnReport{}, err
	}
	return operator.DecodeBurnReport(body)
}
