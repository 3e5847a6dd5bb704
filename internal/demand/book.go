package demand

import (
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// reportTTL is the age from which a report does not count. Entries report every
	// 60 to 300 ms.
	reportTTL = 3 * time.Second
	// maxRate is the largest rate that a report may state, in groups.
	maxRate = 10_000
	// maxModels is the largest number of models in a report.
	maxModels = 64
)

// Book holds the last reports of other entries. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	reports map[string]report
}

type report struct {
	zone  string
	rates []Rate
	at    time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{reports: make(map[string]report)} }

// Set replaces the report of an entry. An empty one tells nothing and is ignored. An
// invalid one is dropped, and the error says why.
func (b *Book) Set(now time.Time, entry, zone string, rates []Rate) error {
	if len(rates) == 0 {
		return nil
	}
	if len(rates) > maxModels {
		return errors.Errorf("%d models", len(rates))
	}
	for _, r := range rates {
		if !valid(r.Short) || !valid(r.Long) || r.Age < 0 {
			return errors.Errorf("rates %g and %g of age %s of model %.40q", r.Short, r.Long, r.Age, r.Model)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[entry] = report{zone: zone, rates: rates, at: now}
	return nil
}

// Rates returns the sum of the reports of a zone's entries that are recent enough, and
// forgets the others. The report of the entry without is left out.
func (b *Book) Rates(now time.Time, zone, without string) []Rate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lists [][]Rate
	maps.DeleteFunc(b.reports, func(_ string, r report) bool { return now.Sub(r.at) > reportTTL })
	for entry, r := range b.reports {
		if r.zone != zone || entry == without {
			continue
		}
		var recent []Rate
		for _, rate := range r.rates {
			if rate.Age += now.Sub(r.at); rate.Age <= reportTTL {
				recent = append(recent, rate)
			}
		}
		lists = append(lists, recent)
	}
	return Sum(lists...)
}

// Sum adds the rates of several lists, by model. The age of a sum is that of its
// oldest part.
func Sum(lists ...[]Rate) []Rate {
	sums := make(map[string]Rate)
	for _, list := range lists {
		for _, r := range list {
			s := sums[r.Model]
			sums[r.Model] = Rate{Model: r.Model, Short: s.Short + r.Short, Long: s.Long + r.Long, Age: max(s.Age, r.Age)}
		}
	}
	rates := make([]Rate, 0, len(sums))
	for _, r := range sums {
		rates = append(rates, r)
	}
	sortRates(rates)
	return rates
}
