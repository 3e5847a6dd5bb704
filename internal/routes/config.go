package routes

import "time"

// Kind states whether a route's requests may be retried after a backend server
// may have run them.
type Kind int

const (
	// Unsafe requests must run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests get a stream of events as the response. They must run
	// at most once unless the route is resumable.
	Streaming
)

// TrafficShare is the relative share of a route's requests that a service gets.
type TrafficShare struct {
	Service string
	Weight  int
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the target latency of a response, or of a stream's first
	// event.
	Objective time.Duration
	// GapObjective is the target for the longest time between two events of a
	// stream.
	GapObjective time.Duration
	// Priority orders the routes' requests; 0 is the most urgent.
	Priority int
	// Split distributes the requests between services.
	Split []TrafficShare
	// MaxAttempts limits how many backend servers may start one request. A stream
	// may be sent to one more, because a server that sent neither an event nor an
	// error response does not count.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Model is a model that a service's replica groups can serve.
type Model struct {
	Name string
	// GroupSize is the number of instances that one replica spans.
	GroupSize int
	// TimeScale is the factor that all durations of the engine are multiplied
	// by for this model.
	TimeScale float64
	// InitialShare is the model's expected share of the work before any load
	// has been measured.
	InitialShare float64
	// LoadTime is how long an instance takes to join a group if it reads the
	// weights from the weight store, WarmTime if they are on its host.
	LoadTime time.Duration
	WarmTime time.Duration
}

// Engine describes the model engines of a service and their timing.
type Engine struct {
	// Slots is the number of requests that a replica group serves at once.
	Slots int
	// Models are the models that the replica groups can serve.
	Models []Model
	// StepTime is the duration of one token step, SequenceTime what each
	// sequence in the decode phase adds to it.
	StepTime     time.Duration
	SequenceTime time.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// StepsPerPass is the number of token steps in one pass.
	StepsPerPass int
	// LoadsPerSecond and MaxConcurrentLoads limit the loads from the weight
	// store.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// MeanPromptTokens and MeanResponseTokens are the mean lengths of prompts and
	// responses.
	MeanPromptTokens   int
	MeanResponseTokens int
}

// Model returns the model with the name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// passesToFirstEvent is the mean number of passes from the arrival of a request at
// an engine to its first event: half of the current pass, and its own.
const passesToFirstEvent = 1.5

// FirstEventTime returns how long a busy replica group of the model usually takes
// from the arrival of a request to its first event. It is 0 for an unknown model.
func (e *Engine) FirstEventTime(model string, promptTokens int) time.Duration {
	if _, found := e.Model(model); !found {
		return 0
	}
	pass := time.Duration(e.StepsPerPass) * (e.StepTime + time.Duration(e.Slots)*e.SequenceTime)
	t := passesToFirstEvent * float64(pass)
	if e.PrefillRate > 0 {
		t += float64(promptTokens) / e.PrefillRate * float64(time.Second)
	}
	return e.scaled(model, t)
}

// PrefillTime returns how long a group of the model prefills a prompt of mean length.
func (e *Engine) PrefillTime(model string) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return e.scaled(model, float64(e.MeanPromptTokens)/e.PrefillRate*float64(time.Second))
}

// RequestTime returns how long a request of mean length holds a slot of a busy group of
// the model. Meanwhile the group prefills a prompt for each of its slots.
func (e *Engine) RequestTime(model string) time.Duration {
	step := float64(e.StepTime + time.Duration(e.Slots)*e.SequenceTime)
	return e.scaled(model, float64(e.MeanResponseTokens)*step) + time.Duration(e.Slots)*e.PrefillTime(model)
}

// scaled returns the nanoseconds times the time scale of the model.
func (e *Engine) scaled(model string, t float64) time.Duration {
	if m, _ := e.Model(model); m.TimeScale > 0 {
		t *= m.TimeScale
	}
	return time.Duration(t)
}

// Timed reports whether the configuration states the engine's timing.
func (e *Engine) Timed() bool { return e.Slots > 0 && e.StepTime > 0 && e.PrefillRate > 0 }

// Work returns for how many seconds a request keeps a replica group of the model busy,
// if the group's slots are in use. It is 0 for an unknown model or if the engine's
// timing is not known.
func (e *Engine) Work(model string, promptTokens, responseTokens int) float64 {
	m, found := e.Model(model)
	if !found || !e.Timed() {
		return 0
	}
	perToken := e.StepTime.Seconds()/float64(e.Slots) + e.SequenceTime.Seconds()
	work := float64(max(promptTokens, 0))/e.PrefillRate + float64(max(responseTokens, 0))*perToken
	if m.TimeScale > 0 {
		work *= m.TimeScale
	}
	return work
}

// Service is a set of backend servers that run the same software.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that a backend server
	// accepts from all entries together.
	ConnectionLimit int
	// ColdRate is the number of requests per second that a cold backend server
	// may get from all entries together; 0 means no limit.
	ColdRate float64
	// Engine is set for model services.
	Engine *Engine
}

// Limits bound the size and duration of requests. The gateway enforces only
// BodyBytes; its listeners have fixed limits for the others.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a caller of the consortium, identified by its keys.
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
	// Keyless is set if the configuration has no list of organisations: no route
	// needs a key. With an empty list, no key is valid.
	Keyless bool
}
