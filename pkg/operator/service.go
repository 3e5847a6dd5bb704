package operator

import "time"

// ServiceKind says what runs behind a service.
type ServiceKind string

const (
	// ModelService is served by replica groups of model engines.
	ModelService ServiceKind = "model"
	// PlainService is served by ordinary backend servers.
	PlainService ServiceKind = "plain"
)

// Service is something that callers can call by its name.
type Service struct {
	// Name is the model name or the path element that callers use.
	Name string
	Kind ServiceKind
	// Model is the model that engines load; Name if empty.
	Model string
	// GroupSize is how many instances a replica group spans.
	GroupSize int
	// Groups says how many replica groups each zone has.
	Groups []ZoneGroups
	// Slots is how many requests a warm replica group takes at once.
	Slots int
	// ColdLimit is how many requests a cold replica group bears at once.
	ColdLimit int
	// Routes says which calls of a plain service are idempotent.
	Routes []Route
	// Objectives are the service-level objectives.
	Objectives Objectives
}

// ZoneGroups is the number of replica groups in one zone.
type ZoneGroups struct {
	Zone  string
	Count int
}

// Route says whether calls of one method and path prefix are idempotent.
type Route struct {
	// Method is an HTTP method; empty matches every one.
	Method string
	// PathPrefix is matched against the path behind the service's name.
	PathPrefix string
	Idempotent bool
}

// Objectives are a service's service-level objectives.
type Objectives struct {
	// FirstToken bounds the time to the first token.
	FirstToken time.Duration
	// BetweenTokens bounds the mean time between two tokens of an answer.
	BetweenTokens time.Duration
	// Target is the share of requests that must meet the objectives, such as
	// 0.95.
	Target float64
}

// GroupsIn returns how many replica groups the zone has.
func (s Service) GroupsIn(zone string) int {
	for _, z := range s.Groups {
		if z.Zone == zone {
			return z.Count
		}
	}
	return 0
}

// EngineModel returns the model that engines load.
func (s Service) EngineModel() string {
	if s.Model == "" {
		return s.Name
	}
	return s.Model
}
