package routes

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by events; they run at most once, unless
	// the route lets them resume.
	Streaming
)

// TrafficShare is a service's part of a route's requests.
type TrafficShare struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time; for streams the
	// time to the first event.
	Objective time.Duration
	// GapObjective is the longest pause between two events that are on time.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Split    []TrafficShare
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Model is a model that a pool's replica groups can serve.
type Model struct {
	Name string
	// GroupSize is how many instances one replica spans.
	GroupSize int
	// Pace is a factor on all of the replica's times.
	TimeScale float64
	// Share is the model's part of the work that is expected at the start.
	InitialShare float64
	// LoadTime and WarmTime are how long a join takes with the weights from
	// the weight store and from the host.
	LoadTime time.Duration
	WarmTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a replica group serves at once.
	Slots int
	// Models are what the replica groups can serve.
	Models []Model
	// StepTime is the time of one token step, SequenceTime what each request
	// that is writing adds to it.
	StepTime     time.Duration
	SequenceTime time.Duration
	// ReadRate is how many prompt tokens are read a second.
	PrefillRate float64
	// Stride is how many token steps one pass holds.
	StepsPerPass int
	// LoadsPerSecond and LoadsAtOnce bound the weight store.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// UsualPrompt and UsualAnswer are mean token counts.
	MeanPromptTokens int
	MeanAnswerTokens int
}

// Model returns the model of the name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service is a set of backend servers that run the same software.
type Service struct {
	Name string
	// ConnectionLimit is how many connections a backend server accepts from
	// all entries together.
	ConnectionLimit int
	// ColdRate is how many requests a second a cold backend server bears from
	// all entries together; 0 means that none is ever cold.
	ColdRate float64
	// Engine is set for model services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a caller of the consortium.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
