package peer

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

type quotaWire struct {
	WantAll    bool              `cbor:"1,keyasint,omitempty"`
	Statements []statementWire   `cbor:"2,keyasint,omitempty"`
	Demands    []demandWire      `cbor:"3,keyasint,omitempty"`
	Grants     []serverGrantWire `cbor:"4,keyasint,omitempty"`
	Backlogs   []backlogWire     `cbor:"5,keyasint,omitempty"`
}

type statementWire struct {
	Server    string  `cbor:"1,keyasint"`
	StartTime int64   `cbor:"2,keyasint"`
	Rate      float64 `cbor:"3,keyasint,omitempty"`
	AgeMS     int64   `cbor:"4,keyasint,omitempty"`
	Leaving   bool    `cbor:"5,keyasint,omitempty"`
	WaitMS    int64   `cbor:"6,keyasint,omitempty"`
}

type demandWire struct {
	Service  string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint,omitempty"`
	Waiting  int    `cbor:"3,keyasint,omitempty"`
	Expected int    `cbor:"4,keyasint,omitempty"`
}

type serverGrantWire struct {
	Server    string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"2,keyasint"`
	Requests  int    `cbor:"3,keyasint"`
	ValidMS   int64  `cbor:"4,keyasint"`
}

type backlogWire struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint,omitempty"`
	WaitMS  int64  `cbor:"3,keyasint,omitempty"`
}

// quotaToWire returns nil for a message without content.
func quotaToWire(m quota.Message) *quotaWire {
	if !m.WantAll && len(m.Statements)+len(m.Demands)+len(m.Grants)+len(m.Backlogs) == 0 {
		return nil
	}
	w := &quotaWire{WantAll: m.WantAll}
	for _, l := range m.Statements {
		w.Statements = append(w.Statements, statementWire{
			Server: l.Server.ID, StartTime: l.Server.StartTime, Rate: l.Rate, AgeMS: l.Age.Milliseconds(), Leaving: l.Leaving,
			WaitMS: l.Wait.Milliseconds(),
		})
	}
	for _, d := range m.Demands {
		w.Demands = append(w.Demands, demandWire{Service: d.Service, Model: d.Model, Waiting: d.Waiting, Expected: d.Expected})
	}
	for _, g := range m.Grants {
		w.Grants = append(w.Grants, serverGrantWire{
			Server: g.Server.ID, StartTime: g.Server.StartTime, Requests: g.Requests, ValidMS: g.ValidFor.Milliseconds(),
		})
	}
	for _, b := range m.Backlogs {
		w.Backlogs = append(w.Backlogs, backlogWire{Service: b.Service, Model: b.Model, WaitMS: b.Wait.Milliseconds()})
	}
	return w
}

func quotaFromWire(w *quotaWire) quota.Message {
	if w == nil {
		return quota.Message{}
	}
	m := quota.Message{WantAll: w.WantAll}
	for _, l := range w.Statements {
		m.Statements = append(m.Statements, quota.Statement{
			Server: registry.Incarnation{ID: l.Server, StartTime: l.StartTime}, Rate: l.Rate,
			Age: time.Duration(l.AgeMS) * time.Millisecond, Leaving: l.Leaving,
			Wait: time.Duration(l.WaitMS) * time.Millisecond,
		})
	}
	for _, d := range w.Demands {
		m.Demands = append(m.Demands, quota.Demand{
			Pool: quota.Pool{Service: d.Service, Model: d.Model}, Waiting: d.Waiting, Expected: d.Expected,
		})
	}
	for _, g := range w.Grants {
		m.Grants = append(m.Grants, quota.Grant{
			Server: registry.Incarnation{ID: g.Server, StartTime: g.StartTime}, Requests: g.Requests,
			ValidFor: time.Duration(g.ValidMS) * time.Millisecond,
		})
	}
	for _, b := range w.Backlogs {
		m.Backlogs = append(m.Backlogs, quota.Backlog{
			Pool: quota.Pool{Service: b.Service, Model: b.Model}, Wait: time.Duration(b.WaitMS) * time.Millisecond,
		})
	}
	return m
}
