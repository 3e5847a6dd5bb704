package operator

import "time"

// ServiceKind is the kind of backend that serves a service.
type ServiceKind string

const (
	// ModelService is served by replica groups of model engines.
	ModelService ServiceKind = "model"
	// PlainService is served by ordinary backend servers.
	PlainService ServiceKind = "plain"
)

// Service is a model or a plain service that callers address by name.
type Service struct {
	// Name is the model name or the path element that callers use.
	Name string
	Kind ServiceKind
	// Model is the model that engines load; Name if empty.
	Model string
	// GroupSize is the number of instances per replica group.
	GroupSize int
	// Groups holds the number of replica groups per zone.
	Groups []ZoneGroups
	// Slots is the maximum number of concurrent requests of a warm replica
	// group.
	Slots int
	// ColdLimit is the maximum number of concurrent requests of a cold replica
	// group.
	ColdLimit int
	// Routes states which calls of a plain service are idempotent.
	Routes []Route
	// Objectives are the service-level objectives.
	Objectives Objectives
}

// ZoneGroups is the number of replica groups in one zone.
type ZoneGroups struct {
	Zone  string
	Count int
}

// Route states whether calls with a method and path prefix are idempotent.
type Route struct {
	// Method is an HTTP method; empty matches all methods.
	Method string
	// PathPrefix is matched against the path after the service's name.
	PathPrefix string
	Idempotent bool
}

// Objectives are a service's service-level objectives.
type Objectives struct {
	// FirstToken is the maximum time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the maximum mean time between two tokens of a response.
	BetweenTokens time.Duration
	// Target is the share of requests that must meet the objectives, such as
	// 0.95.
	Target float64
}

// GroupsIn returns the number of the service's replica groups in a zone.
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
