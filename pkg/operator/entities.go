package operator

import "time"

// Organisation is a customer whose callers share keys, weight and ceilings.
type Organisation struct {
	Name string
	// KeyHashes are the SHA-256 hashes of the organisation's bearer keys, in
	// hexadecimal. Keys themselves are never kept.
	KeyHashes []string
}

// Zone is the operators' word on an availability zone.
type Zone struct {
	Name string
	// Out says that the zone receives no new work.
	Out bool
}

// Instance is the operators' word on one instance.
type Instance struct {
	Name string
	// Drained says that the instance leaves: it receives no new work.
	Drained bool
	// Held says that the instance joins no new replica group.
	Held bool
}

// Defaults are the fleet-wide defaults.
type Defaults struct {
	// Weight is an organisation's share of a busy service.
	Weight int
	// MaxInFlight bounds an organisation's requests in progress per zone; 0
	// means no bound.
	MaxInFlight int
	// RetryPercent bounds retries as a share of requests.
	RetryPercent int
	// RequestTimeout bounds a whole request.
	RequestTimeout time.Duration
}

// Exception changes one default for one organisation, for a stated reason.
type Exception struct {
	Name         string
	Organisation string
	Setting      Setting
	Value        int
}

// Setting names a default that exceptions can change.
type Setting string

const (
	// SettingWeight is Defaults.Weight.
	SettingWeight Setting = "weight"
	// SettingMaxInFlight is Defaults.MaxInFlight.
	SettingMaxInFlight Setting = "max-in-flight"
)
