package standin

import (
	"net/http"
	"time"
)

// SetFaults replaces the engine's faults. Death ends its running answers and
// forgets its role.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && !e.faults.Leaving {
		e.leavingAt = time.Now()
	}
	if !f.Leaving {
		e.leavingAt = time.Time{}
	}
	e.faults = f
	if !f.Dead {
		return
	}
	for _, s := range e.streams {
		s.stop()
	}
	e.streams = make(map[string]*engineStream)
	e.order = engineOrderWire{}
	e.model = ""
}

// TurnCold makes the engine cold again without a warning.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.coldUntil = now.Add(e.speed.ColdTime)
	e.coldKnown = now.Add(graceTime)
}

// SetZoneOut tells the engine that its zone was taken out or brought back.
func (e *Engine) SetZoneOut(out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zoneOutAt = time.Time{}
	if out {
		e.zoneOutAt = time.Now()
	}
}

// SetLeaving tells the engine that operators or the platform take it away.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingAt = time.Time{}
	if leaving {
		e.leavingAt = time.Now()
	}
}

// Missing reports whether the engine can't take part in a group.
func (e *Engine) Missing(group string, generation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Dead || e.faults.Paused {
		return true
	}
	return e.order.Group != group || e.order.Generation < generation
}

// Counts returns what the engine has counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// CheckMembers looks whether members are missing and notes since when. It returns
// whether one is missing now.
func (e *Engine) CheckMembers() bool {
	e.mu.Lock()
	order := e.order
	e.mu.Unlock()
	missing := e.anyMissing(order)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !missing:
		e.missingAt = time.Time{}
	case e.missingAt.IsZero():
		e.missingAt = now
	}
	return missing
}

func (e *Engine) anyMissing(order engineOrderWire) bool {
	for rank, address := range order.Members {
		if rank != order.Rank && e.MemberMissing(address, order.Group, order.Generation) {
			return true
		}
	}
	return false
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if readJSON(w, r, &faults) {
		e.SetFaults(faults)
	}
}

func (e *Engine) serveTurnCold(http.ResponseWriter, *http.Request) {
	e.TurnCold()
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counts())
}

// Rank returns the engine's rank in its group, -1 for none.
func (e *Engine) Rank() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.Group == "" {
		return -1
	}
	return e.order.Rank
}

// Running returns how many answers the engine works on.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Dead reports whether the engine is dead.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead
}
