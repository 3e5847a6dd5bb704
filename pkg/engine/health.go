package engine

// State is an engine's lifecycle state.
type State string

const (
	// Idle means that the engine is not a member of a replica group.
	Idle State = "idle"
	// Loading means that the engine is loading its model and can't serve
	// requests.
	Loading State = "loading"
	// Cold means that the engine serves requests, but only at a reduced load.
	Cold State = "cold"
	// Warm means that the engine can serve its full load.
	Warm State = "warm"
)

// Health is an engine's response to a probe.
type Health struct {
	State      State
	Group      string
	Generation uint64
	// Running and Queued are the numbers of requests; they may be outdated.
	Running int
	Queued  int
	// Leaving is set if the engine is about to shut down.
	Leaving bool
}

type healthWire struct {
	State      string `json:"state"`
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Leaving    bool   `json:"leaving"`
}

func decodeHealth(w healthWire) Health {
	return Health{
		State:      State(w.State),
		Group:      w.Group,
		Generation: w.Generation,
		Running:    w.Running,
		Queued:     w.Queued,
		Leaving:    w.Leaving,
	}
}
