package standin

import (
	"net/http"
	"time"
)

// SetFaults replaces the engine's faults. The fault Dead ends all running
// responses and resets the engine's role.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && !e.faults.Leaving {
		e.leavingSince = time.Now()
	}
	if !f.Leaving {
		e.leavingSince = time.Time{}
	}
	e.faults = f
	if !f.Dead {
		return
	}
	for _, s := range e.streams {
		s.stop()
	}
	e.streams = make(map[string]*engineStream)
	e.role = roleWire{}
	e.model = ""
}

// TurnCold makes the engine cold again without a preceding load. Requests count
// against the cold limit only after propagationGrace.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.coldUntil = now.Add(e.speed.ColdTime)
	e.coldVisibleAt = now.Add(propagationGrace)
}

// SetZoneOut records that operators took the engine's zone out of service or
// returned it to service.
func (e *Engine) SetZoneOut(out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zoneOutSince = time.Time{}
	if out {
		e.zoneOutSince = time.Now()
	}
}

// SetLeaving records that operators or the platform are removing the engine, or
// that they no longer are.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Time{}
	if leaving {
		e.leavingSince = time.Now()
	}
}

// Missing reports whether the engine can't serve as a member of the group with at
// least the given generation.
func (e *Engine) Missing(group string, generation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Dead || e.faults.Paused {
		return true
	}
	return e.role.Group != group || e.role.Generation < generation
}

// Counts returns the engine's counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// CheckMembers probes the other members of the group. It reports whether one is
// missing, and records since when.
func (e *Engine) CheckMembers() bool {
	e.mu.Lock()
	role := e.role
	e.mu.Unlock()
	missing := e.anyMissing(role)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !missing:
		e.missingSince = time.Time{}
	case e.missingSince.IsZero():
		e.missingSince = now
	}
	return missing
}

func (e *Engine) anyMissing(role roleWire) bool {
	for rank, address := range role.Members {
		if rank != role.Rank && e.MemberMissing(address, role.Group, role.Generation) {
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
	if e.role.Group == "" {
		return -1
	}
	return e.role.Rank
}

// Running returns how many slots are in use.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Dead reports whether the fault Dead is set.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Dead
}
