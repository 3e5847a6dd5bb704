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
	burnPath = "/burn"
	// maxPeerBytes limits the body of a peer's response.
	maxPeerBytes = 16 << 20
)

// burnCollector counts the requests of this entry that met or missed their
// service-level objectives, and collects the counts of all entries.
type burnCollector struct {
	zone     string
	recorder *burn.Recorder
	peers    *peers
}

// record counts a finished model request. A request that its caller cancelled is not
// counted.
func (b *burnCollector) record(g *generation, callerErr *caller.Error, cancelled bool) {
	if cancelled {
		return
	}
	now := time.Now()
	add := func(objective burn.Objective, good bool) {
		b.recorder.Add(now, burn.Key{
			Service: g.requirements.service.Name, Organisation: g.requirements.organisation, Objective: objective,
		}, good)
	}
	complete := callerErr == nil
	add(burn.Availability, complete)
	objectives := g.requirements.service.Objectives
	if objectives.FirstToken > 0 {
		add(burn.FirstToken, complete && g.timeToFirstToken() <= objectives.FirstToken)
	}
	if objectives.BetweenTokens > 0 && g.tokens > 1 {
		add(burn.BetweenTokens, complete && g.meanTokenInterval() <= objectives.BetweenTokens)
	}
}

// local returns the counts of this entry for each window.
func (b *burnCollector) local() operator.BurnReport {
	var r operator.BurnReport
	for _, s := range b.recorder.Sums(time.Now()) {
		r.Counts = append(r.Counts, operator.ObjectiveCounts{
			Service: s.Service, Organisation: s.Organisation, Zone: b.zone,
			Objective: string(s.Objective), Window: s.Window, Good: s.Good, Bad: s.Bad,
		})
	}
	return r
}

// collect returns the counts of this entry and of all other entries with a live session
// in the view. Entries whose counts could not be fetched are listed as unreached.
func (b *burnCollector) collect(ctx context.Context) operator.BurnReport {
	report := b.local()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range b.peers.view().Sessions {
		if s.State != membership.Live || s.Entry == b.peers.identity.Entry {
			continue
		}
		wg.Go(func() {
			entryReport, err := b.fetch(ctx, s.Session)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Unreached = append(report.Unreached, s.Entry)
				return
			}
			report.Counts = append(report.Counts, entryReport.Counts...)
		})
	}
	wg.Wait()
	sort.Strings(report.Unreached)
	return report
}

// fetch requests the counts of one entry.
func (b *burnCollector) fetch(ctx context.Context, s membership.Session) (operator.BurnReport, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	url := b.peers.httpScheme() + "://" + s.Address + burnPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return operator.BurnReport{}, err
	}
	request.Header.Set("Authorization", "Bearer "+b.peers.key)
	response, err := b.peers.client.Do(request)
	if err != nil {
		return operator.BurnReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return operator.BurnReport{}, errors.New(response.Status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return operator.BurnReport{}, err
	}
	return operator.DecodeBurnReport(body)
}
