package operator

import "time"

// Organisation is a customer whose callers share API keys, a scheduling weight
// and limits.
type Organisation struct {
	Name string
	// KeyHashes are the SHA-256 hashes of the organisation's bearer keys, in
	// hexadecimal. The keys themselves are never stored.
	KeyHashes []string
}

// Zone holds the operators' settings for an availability zone.
type Zone struct {
	Name string
	// Out takes the zone out of service: it receives no new requests.
	Out bool
}

// Instance holds the operators' settings for an instance.
type Instance struct {
	Name string
	// Drained drains the instance: it receives no new requests.
	Drained bool
	// Held keeps the instance out of new replica groups.
	Held bool
}

// Defaults are the fleet-wide defaults.
type Defaults struct {
	// Weight is an organisation's relative share of a service at capacity.
	Weight int
	// MaxInFlight limits an organisation's in-flight requests per zone; 0 means
	// no limit.
	MaxInFlight int
	// RetryPercent limits retries as a percentage of requests.
	RetryPercent int
	// RequestTimeout limits the duration of a whole request.
	RequestTimeout time.Duration
}

// Exception overrides one default for one organisation. The change that writes
// it states the reason.
type Exception struct {
	Name         string
	Organisation string
	Setting      Setting
	Value        int
}

// Setting is the name of a default that exceptions can override.
type Setting string

const (
	// SettingWeight overrides Defaults.Weight.
	SettingWeight Setting = "weight"
	// SettingMaxInFlight overrides Defaults.MaxInFlight.
	SettingMaxInFlight Setting = "max-in-flight"
)
