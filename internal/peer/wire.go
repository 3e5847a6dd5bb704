package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// Wire types. Integer keys keep the frames small. The meaning of a key never
// changes, and keys are not reused.

type creditRequestWire struct {
	Group      string `cbor:"1,keyasint"`
	Want       int    `cbor:"2,keyasint,omitempty"`
	InFlight   int    `cbor:"3,keyasint,omitempty"`
	AppliedSeq uint64 `cbor:"4,keyasint,omitempty"`
}

type grantWire struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Leader     string `cbor:"3,keyasint"`
	Seq        uint64 `cbor:"4,keyasint"`
	Credits    int    `cbor:"5,keyasint,omitempty"`
	TTLMS      int64  `cbor:"6,keyasint"`
	Cold       bool   `cbor:"7,keyasint,omitempty"`
}

type usageWire struct {
	Service      string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Tokens       int64  `cbor:"3,keyasint"`
}

type orderWire struct {
	Number uint64 `cbor:"1,keyasint"`
	Change []byte `cbor:"2,keyasint"`
}

type exchangeWire struct {
	Entry          string              `cbor:"1,keyasint"`
	Zone           string              `cbor:"2,keyasint"`
	Revision       uint64              `cbor:"3,keyasint"`
	CreditRequests []creditRequestWire `cbor:"4,keyasint,omitempty"`
	Usage          []usageWire         `cbor:"5,keyasint,omitempty"`
	Orders         []orderWire         `cbor:"6,keyasint,omitempty"`
	Loads          []loadWire          `cbor:"20,keyasint,omitempty"`
	Crashes        []crashWire         `cbor:"21,keyasint,omitempty"`
	Successes      []successWire       `cbor:"22,keyasint,omitempty"`
	Quota          *quotaWire          `cbor:"23,keyasint,omitempty"`
	Demand         []rateWire          `cbor:"24,keyasint,omitempty"`
}

type exchangeReplyWire struct {
	Revision  uint64        `cbor:"1,keyasint"`
	Ready     bool          `cbor:"2,keyasint,omitempty"`
	Grants    []grantWire   `cbor:"3,keyasint,omitempty"`
	Entry     string        `cbor:"4,keyasint"`
	Zone      string        `cbor:"5,keyasint"`
	Orders    []orderWire   `cbor:"6,keyasint,omitempty"`
	Loads     []loadWire    `cbor:"20,keyasint,omitempty"`
	Crashes   []crashWire   `cbor:"21,keyasint,omitempty"`
	Successes []successWire `cbor:"22,keyasint,omitempty"`
	Quota     *quotaWire    `cbor:"23,keyasint,omitempty"`
	Demand    []rateWire    `cbor:"24,keyasint,omitempty"`
}

type loadWire struct {
	Server    string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"2,keyasint"`
	InFlight  int    `cbor:"3,keyasint,omitempty"`
	Stalled   bool   `cbor:"4,keyasint,omitempty"`
	Progress  bool   `cbor:"5,keyasint,omitempty"`
}

type crashWire struct {
	Part      string `cbor:"1,keyasint"`
	Server    string `cbor:"2,keyasint"`
	StartTime int64  `cbor:"3,keyasint"`
	Request   string `cbor:"4,keyasint"`
	AgeMS     int64  `cbor:"5,keyasint,omitempty"`
}

type successWire struct {
	Part  string `cbor:"1,keyasint"`
	AgeMS int64  `cbor:"2,keyasint,omitempty"`
}

func reportToWire(r quarantine.Report) (crashes []crashWire, successes []successWire) {
	for _, c := range r.Crashes {
		crashes = append(crashes, crashWire{
			Part: c.Part, Server: c.Server.ID, StartTime: c.Server.StartTime, Request: c.Request, AgeMS: c.Age.Milliseconds(),
		})
	}
	for _, s := range r.Successes {
		successes = append(successes, successWire{Part: s.Part, AgeMS: s.Age.Milliseconds()})
	}
	return crashes, successes
}

func reportFromWire(crashes []crashWire, successes []successWire) quarantine.Report {
	var r quarantine.Report
	for _, w := range crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Part: w.Part, Server: registry.Incarnation{ID: w.Server, StartTime: w.StartTime}, Request: w.Request,
			Age: time.Duration(w.AgeMS) * time.Millisecond,
		})
	}
	for _, w := range successes {
		r.Successes = append(r.Successes, quarantine.Success{Part: w.Part, Age: time.Duration(w.AgeMS) * time.Millisecond})
	}
	return r
}

func loadsToWire(loads []Load) []loadWire {
	var wires []loadWire
	for _, l := range loads {
		wires = append(wires, loadWire{Server: l.Server, StartTime: l.StartTime, InFlight: l.InFlight, Stalled: l.Stalled, Progress: l.Progress})
	}
	return wires
}

func loadsFromWire(wires []loadWire) []Load {
	var loads []Load
	for _, w := range wires {
		loads = append(loads, Load{Server: w.Server, StartTime: w.StartTime, InFlight: w.InFlight, Stalled: w.Stalled, Progress: w.Progress})
	}
	return loads
}

type configPullWire struct {
	After uint64 `cbor:"1,keyasint"`
}

type configReplyWire struct {
	Revision uint64   `cbor:"1,keyasint"`
	Snapshot bool     `cbor:"2,keyasint,omitempty"`
	Changes  [][]byte `cbor:"3,keyasint,omitempty"`
}

type relayWire struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

type relayReplyWire struct {
	PlatformReached bool  `cbor:"1,keyasint,omitempty"`
	Succeeded       bool  `cbor:"2,keyasint,omitempty"`
	Version         int64 `cbor:"3,keyasint,omitempty"`
}

type revocationWire struct {
	Group      string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Abort      bool   `cbor:"3,keyasint,omitempty"`
}

// frameWire is one WebSocket message. A frame without ID is a pushed revocation.
type frameWire struct {
	ID            uint64             `cbor:"1,keyasint,omitempty"`
	Exchange      *exchangeWire      `cbor:"2,keyasint,omitempty"`
	ExchangeReply *exchangeReplyWire `cbor:"3,keyasint,omitempty"`
	ConfigPull    *configPullWire    `cbor:"4,keyasint,omitempty"`
	ConfigReply   *configReplyWire   `cbor:"5,keyasint,omitempty"`
	Relay         *relayWire         `cbor:"6,keyasint,omitempty"`
	RelayReply    *relayReplyWire    `cbor:"7,keyasint,omitempty"`
	Revocation    *revocationWire    `cbor:"8,keyasint,omitempty"`
	Sync          *syncWire          `cbor:"9,keyasint,omitempty"`
	SyncReply     *syncReplyWire     `cbor:"10,keyasint,omitempty"`
}

func encodeFrame(f frameWire) ([]byte, error) {
	encoded, err := cbor.Marshal(f)
	return encoded, errors.Wrap(err, "encode a peer frame")
}

func decodeFrame(encoded []byte) (frameWire, error) {
	var f frameWire
	err := cbor.Unmarshal(encoded, &f)
	return f, errors.Wrap(err, "decode a peer frame")
}

func requestToWire(r Request) frameWire {
	var f frameWire
	if r.Exchange != nil {
		f.Exchange = exchangeToWire(*r.Exchange)
	}
	if r.ConfigPull != nil {
		f.ConfigPull = &configPullWire{After: r.ConfigPull.After}
	}
	if r.Relay != nil {
		f.Relay = &relayWire{Key: r.Relay.Key, Value: r.Relay.Value, Version: r.Relay.Version}
	}
	if r.Sync != nil {
		f.Sync = syncToWire(*r.Sync)
	}
	return f
}

func requestFromWire(f frameWire) Request {
	var r Request
	if f.Exchange != nil {
		r.Exchange = exchangeFromWire(*f.Exchange)
	}
	if f.ConfigPull != nil {
		r.ConfigPull = &ConfigPull{After: f.ConfigPull.After}
	}
	if f.Relay != nil {
		r.Relay = &Relay{Key: f.Relay.Key, Value: f.Relay.Value, Version: f.Relay.Version}
	}
	if f.Sync != nil {
		r.Sync = syncFromWire(*f.Sync)
	}
	return r
}

func replyToWire(r Reply) frameWire {
	var f frameWire
	if r.Exchange != nil {
		f.ExchangeReply = exchangeReplyToWire(*r.Exchange)
	}
	if c := r.Config; c != nil {
		f.ConfigReply = &configReplyWire{Revision: c.Revision, Snapshot: c.Snapshot, Changes: c.Changes}
	}
	if y := r.Relay; y != nil {
		f.RelayReply = &relayReplyWire{PlatformReached: y.PlatformReached, Succeeded: y.Succeeded, Version: y.Version}
	}
	if r.Sync != nil {
		f.SyncReply = syncReplyToWire(*r.Sync)
	}
	return f
}

func replyFromWire(f frameWire) Reply {
	var r Reply
	if f.ExchangeReply != nil {
		r.Exchange = exchangeReplyFromWire(*f.ExchangeReply)
	}
	if c := f.ConfigReply; c != nil {
		r.Config = &ConfigReply{Revision: c.Revision, Snapshot: c.Snapshot, Changes: c.Changes}
	}
	if y := f.RelayReply; y != nil {
		r.Relay = &RelayReply{PlatformReached: y.PlatformReached, Succeeded: y.Succeeded, Version: y.Version}
	}
	if f.SyncReply != nil {
		r.Sync = syncReplyFromWire(*f.SyncReply)
	}
	return r
}

func exchangeToWire(e Exchange) *exchangeWire {
	w := &exchangeWire{
		Entry: e.Entry, Zone: e.Zone, Revision: e.Revision, Orders: ordersToWire(e.Orders), Loads: loadsToWire(e.Loads),
		Quota: quotaToWire(e.Quota), Demand: ratesToWire(e.Demand),
	}
	w.Crashes, w.Successes = reportToWire(e.Parts)
	for _, c := range e.CreditRequests {
		w.CreditRequests = append(w.CreditRequests, creditRequestWire{
			Group: c.Group, Want: c.Want, InFlight: c.InFlight, AppliedSeq: c.AppliedSeq,
		})
	}
	for _, u := range e.Usage {
		w.Usage = append(w.Usage, usageWire{
			Service: u.Service, Organisation: u.Organisation, Tokens: u.Tokens,
		})
	}
	return w
}

func exchangeFromWire(w exchangeWire) *Exchange {
	e := &Exchange{
		Entry: w.Entry, Zone: w.Zone, Revision: w.Revision, Orders: ordersFromWire(w.Orders), Loads: loadsFromWire(w.Loads),
		Parts: reportFromWire(w.Crashes, w.Successes), Quota: quotaFromWire(w.Quota), Demand: ratesFromWire(w.Demand),
	}
	for _, c := range w.CreditRequests {
		e.CreditRequests = append(e.CreditRequests, permit.CreditRequest{
			Entry: w.Entry, Group: c.Group, Want: c.Want, InFlight: c.InFlight, AppliedSeq: c.AppliedSeq,
		})
	}
	for _, u := range w.Usage {
		e.Usage = append(e.Usage, Usage{
			Service: u.Service, Organisation: u.Organisation, Tokens: u.Tokens,
		})
	}
	return e
}

func exchangeReplyToWire(r ExchangeReply) *exchangeReplyWire {
	w := &exchangeReplyWire{
		Entry: r.Entry, Zone: r.Zone, Revision: r.Revision, Ready: r.Ready, Orders: ordersToWire(r.Orders),
		Loads: loadsToWire(r.Loads), Quota: quotaToWire(r.Quota), Demand: ratesToWire(r.Demand),
	}
	w.Crashes, w.Successes = reportToWire(r.Parts)
	for _, g := range r.Grants {
		w.Grants = append(w.Grants, grantWire{
			Group: g.Group, Generation: g.Generation, Leader: g.Leader, Seq: g.Seq,
			Credits: g.Credits, TTLMS: g.TTL.Milliseconds(), Cold: g.Cold,
		})
	}
	return w
}

func exchangeReplyFromWire(w exchangeReplyWire) *ExchangeReply {
	r := &ExchangeReply{
		Entry: w.Entry, Zone: w.Zone, Revision: w.Revision, Ready: w.Ready, Orders: ordersFromWire(w.Orders),
		Loads: loadsFromWire(w.Loads), Parts: reportFromWire(w.Crashes, w.Successes),
		Quota: quotaFromWire(w.Quota), Demand: ratesFromWire(w.Demand),
	}
	for _, g := range w.Grants {
		r.Grants = append(r.Grants, permit.Grant{
			Group: g.Group, Generation: g.Generation, Leader: g.Leader, Seq: g.Seq,
			Credits: g.Credits, TTL: time.Duration(g.TTLMS) * time.Millisecond, Cold: g.Cold,
		})
	}
	return r
}

func ordersToWire(orders []Order) []orderWire {
	var wires []orderWire
	for _, o := range orders {
		wires = append(wires, orderWire{Number: o.Number, Change: o.Change})
	}
	return wires
}

func ordersFromWire(wires []orderWire) []Order {
	var orders []Order
	for _, w := range wires {
		orders = append(orders, Order{Number: w.Number, Change: w.Change})
	}
	return orders
}
