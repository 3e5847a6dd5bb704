package engine

// State is what an engine is doing.
type State string

const (
	// Idle means that the engine belongs to no replica group.
	Idle State = "idle"
	// Loading means that the engine loads its model and can't answer.
	Loading State = "loading"
	// Cold means that the engine answers but bears only a little load.
	Cold State = "cold"
	// Warm means that the engine bears its full load.
	Warm State = "warm"
)

// Health is an engine's answer to a probe.
type Health struct {
	State      State
	Group      string
	Generation uint64
	// Running and Queued count requests; they lag behind reality.
	Running int
	Queued  int
	// Leaving says that the engine is about to shut down.
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
