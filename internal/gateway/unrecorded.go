package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// keepsUnrecorded reports whether servers whose record went are still used for a part
// of the drain time, and their groups kept.
func (g *Gateway) keepsUnrecorded() bool { return g.settings.Bounds.Drain > 0 }

// recordUnrecordedSend counts and logs a request that is sent to a server without a
// record. The log has one line for each time that a record goes.
func (g *Gateway) recordUnrecordedSend(c *call, s *registry.Server) {
	if !g.keepsUnrecorded() || !g.balancer.UsesUnrecorded(time.Now(), s.Incarnation()) {
		return
	}
	g.metrics.unrecordedSends.Add(1)
	c.addNote(s.ID + " has no record")
	goneSince, gone := g.registry.View().GoneSince[s.ID]
	g.mu.Lock()
	logged := !gone || g.unrecordedLogged[s.ID].Equal(goneSince)
	if !logged {
		g.unrecordedLogged[s.ID] = goneSince
	}
	g.mu.Unlock()
	if !logged {
		event.UnrecordedServerUsed.Log(g.logger, logrus.Fields{
			"server": s.ID, "born": s.StartTime, "gone-ms": time.Since(goneSince).Milliseconds(), "request": c.info.ID,
		})
	}
}

// forgetUnrecorded drops the notes on servers that have a record again or went long ago.
func (g *Gateway) forgetUnrecorded(v *registry.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.unrecordedLogged {
		if _, gone := v.GoneSince[id]; !gone {
			delete(g.unrecordedLogged, id)
		}
	}
}

// isListed reports whether the registry has the incarnation's record, or had it less
// than the drain time ago, so that the server may still get requests.
func (g *Gateway) isListed(now time.Time, v *registry.View, inc registry.Incarnation) bool {
	if s := v.Servers[inc.ID]; s != nil && s.StartTime == inc.StartTime {
		return true
	}
	last := v.Removed[inc.ID]
	return last != nil && last.StartTime == inc.StartTime && now.Sub(v.GoneSince[inc.ID]) < g.settings.Bounds.Drain
}

// runs reports whether the registry has the incarnation's record, or requests may begin
// at the server without one.
func (g *Gateway) runs(v *registry.View, inc registry.Incarnation) bool {
	if s := v.Servers[inc.ID]; s != nil && s.StartTime == inc.StartTime {
		return true
	}
	return g.keepsUnrecorded() && g.balancer.UsesUnrecorded(time.Now(), inc)
}

// observeReport takes a server's response to a probe as a sign of life if it still leads
// the group of its last record.
func (g *Gateway) observeReport(inc registry.Incarnation, report registry.Server) {
	if !g.keepsUnrecorded() {
		return
	}
	last := g.registry.View().Removed[inc.ID]
	if last == nil || last.Incarnation() != inc || last.Member == nil || report.Member == nil ||
		report.Member.Group != last.Member.Group || !report.LeadsOpenGroup(last.Member.Model) {
		return
	}
	g.balancer.ObserveAlive(time.Now(), inc)
}

// logKept logs the groups that go on although members have no record, and counts them.
func (cl *controlLoop) logKept(kept []formation.KeptGroup, v *registry.View) {
	lost := 0
	for _, k := range kept {
		cl.gateway.metrics.groupsKept.Add(1)
		event.GroupKept.Log(cl.gateway.logger, logrus.Fields{
			"group": k.Group.Name, "model": k.Model, "members": k.Members, "lost-contact": k.LostContact,
		})
		if k.LostContact {
			n, _ := v.LostContact(k.Members[0])
			lost = max(lost, n)
		}
	}
	if lost > 0 {
		event.RecordsLost.Log(cl.gateway.logger, logrus.Fields{"servers": lost, "zone": cl.gateway.settings.Zone})
	}
}

// aliveAt returns when an entry reported that it has seen a sign of life of a server.
func (s *loadSum) aliveAt() time.Time {
	if s.progress == 0 {
		return time.Time{}
	}
	return s.progressAt
}

// noteProgress sets when the progress of a peer's streams was last reported, for servers
// without a record.
func (ps *peers) noteProgress(sums map[registry.Incarnation]loadSum, reported peerLoads) {
	if !ps.gateway.keepsUnrecorded() {
		return
	}
	removed := ps.gateway.registry.View().Removed
	for _, l := range reported.loads {
		inc := registry.Incarnation{ID: l.Server, StartTime: l.StartTime}
		if sum := sums[inc]; removed[l.Server] != nil && hasProgress(l) && reported.at.After(sum.progressAt) {
			sum.progressAt = reported.at
			sums[inc] = sum
		}
	}
}

// addAlive adds the leaders without a record that this entry knows to be alive.
func addAlive(sums map[registry.Incarnation]loadSum, b *dispatch.Balancer, now time.Time) {
	for _, inc := range b.Alive(now) {
		if sum := sums[inc]; sum.stalled == 0 && sum.progress == 0 {
			sum.progress = 1
			sums[inc] = sum
		}
	}
}

// addStreams adds the servers from which streams of other entries advance, and those
// that other entries report as stalled.
func (ps *peers) addStreams(advancing, stalled map[string]bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for inc, sum := range ps.sums {
		switch {
		case sum.progress > 0:
			advancing[inc.ID] = true
		case sum.stalled > 0:
			stalled[inc.ID] = true
		}
	}
}

// observeStreams updates what is known about the progress of streams, for result.
func (p *prober) observeStreams(now time.Time) {
	if !p.gateway.keepsUnrecorded() {
		return
	}
	advancing, stalled := p.gateway.balancer.Streams(now)
	p.gateway.peers.addStreams(advancing, stalled)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advancing, p.stalled = advancing, stalled
}

// withStreams adds what the streams of all entries show to the result of a server's
// probes. A server whose streams advance is alive, whether or not it answers. The
// caller holds p.mu.
func (p *prober) withStreams(id string, r formation.ProbeResult) formation.ProbeResult {
	if p.advancing[id] {
		return formation.ProbeResult{Answered: true, Advancing: true}
	}
	r.Stalled = p.stalled[id]
	return r
}

// isOther reports whether a response to a probe came from another server or incarnation
// than the one whose last record the prober used. Reports without an ID or a start time
// prove nothing.
func isOther(report registry.Server, inc registry.Incarnation) bool {
	return (report.ID != "" && report.ID != inc.ID) || (report.StartTime != 0 && inc.StartTime != 0 && report.StartTime != inc.StartTime)
}
