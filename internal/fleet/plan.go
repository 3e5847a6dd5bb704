package fleet

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/entry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// Plan is the configuration of a fleet.
type Plan struct {
	Zones          []string
	EntriesPerZone int
	GroupsPerZone  int
	// GroupSize is how many instances a replica group spans.
	GroupSize int
	// DomainsPerZone and InstancesPerDomain define the fabric domains.
	DomainsPerZone     int
	InstancesPerDomain int
	// ChecksFencing reports whether engine number n, counted from 0, checks
	// fencing tokens.
	ChecksFencing func(n int) bool
	Speed         standin.EngineSpeed
	// Organisations is the number of organisations.
	Organisations int
	Limits        settings.Limits
	Grouping      settings.Grouping
	// EntryOptions are additional options for every entry.
	EntryOptions []entry.Option
	// LogLevel is a logrus level name.
	LogLevel string
}

// DefaultPlan returns the demo's fleet: three zones of two entries, 12 replica
// groups of 4 instances and 3 plain application replicas.
func DefaultPlan() Plan {
	return Plan{
		Zones:              []string{"a", "b", "c"},
		EntriesPerZone:     2,
		GroupsPerZone:      4,
		GroupSize:          4,
		DomainsPerZone:     2,
		InstancesPerDomain: 10,
		ChecksFencing:      func(n int) bool { return n%2 == 0 },
		Speed: standin.EngineSpeed{
			TokenInterval:   10 * time.Millisecond,
			PrefillPerToken: 200 * time.Microsecond,
			LoadTime:        500 * time.Millisecond,
			ColdTime:        1500 * time.Millisecond,
			Slots:           8,
			ColdLimit:       2,
		},
		Organisations: 3,
		Limits:        settings.DefaultLimits(),
		Grouping:      settings.Grouping{DowntimeWeight: 1, StrandedWeight: 1, SparesPerDomain: 1},
		LogLevel:      "warning",
	}
}

// Names of the fleet's services and of its configuration's author.
const (
	ModelName   = "yard-notes"
	ServiceName = "docking"
	Author      = "fleet"
)
