package operator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// encode encodes a wire type as JSON. It panics if that fails.
func encode(wire any) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		panic(err) // marshalling plain data cannot fail
	}
	return encoded
}

func decode(encoded []byte, wire any) error {
	return errors.Wrap(json.Unmarshal(encoded, wire), "decode the entry's response")
}

// EncodeStatus encodes a status as JSON.
func EncodeStatus(s Status) []byte {
	w := statusWire{
		Entry: s.Entry, Zone: s.Zone, Revision: s.Revision, Ready: s.Ready,
		PlatformReachable: s.PlatformReachable, SessionEpoch: s.SessionEpoch,
		Peers: []peerStatusWire{}, Groups: []groupStatusWire{},
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, peerStatusWire{
			Entry: p.Entry, Zone: p.Zone, Address: p.Address, Connected: p.Connected,
		})
	}
	for _, g := range s.Groups {
		w.Groups = append(w.Groups, groupStatusWire{
			Name: g.Name, Service: g.Service, Zone: g.Zone, Domain: g.Domain, Owner: g.Owner,
			Generation: g.Generation, Members: g.Members, Credits: g.Credits,
			InFlight: g.InFlight, Valid: g.Valid, Cold: g.Cold, DowntimeMS: g.Downtime.Milliseconds(),
		})
	}
	return encode(w)
}

// DecodeStatus decodes a status from JSON.
func DecodeStatus(encoded []byte) (Status, error) {
	var w statusWire
	if err := decode(encoded, &w); err != nil {
		return Status{}, err
	}
	s := Status{
		Entry: w.Entry, Zone: w.Zone, Revision: w.Revision, Ready: w.Ready,
		PlatformReachable: w.PlatformReachable, SessionEpoch: w.SessionEpoch,
	}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, PeerStatus{
			Entry: p.Entry, Zone: p.Zone, Address: p.Address, Connected: p.Connected,
		})
	}
	for _, g := range w.Groups {
		s.Groups = append(s.Groups, GroupStatus{
			Name: g.Name, Service: g.Service, Zone: g.Zone, Domain: g.Domain, Owner: g.Owner,
			Generation: g.Generation, Members: g.Members, Credits: g.Credits,
			InFlight: g.InFlight, Valid: g.Valid, Cold: g.Cold,
			Downtime: time.Duration(g.DowntimeMS) * time.Millisecond,
		})
	}
	return s, nil
}

// EncodeInstances encodes instances as JSON.
func EncodeInstances(list []InstanceStatus) []byte {
	wires := []instanceStatusWire{}
	for _, i := range list {
		wires = append(wires, instanceStatusWire{
			Name: i.Name, Address: i.Address, Zone: i.Zone, Domain: i.Domain, Service: i.Service,
			Group: i.Group, Leaving: i.Leaving, Drained: i.Drained, Held: i.Held, Quarantined: i.Quarantined,
		})
	}
	return encode(wires)
}

// DecodeInstances decodes instances from JSON.
func DecodeInstances(encoded []byte) ([]InstanceStatus, error) {
	var wires []instanceStatusWire
	if err := decode(encoded, &wires); err != nil {
		return nil, err
	}
	var list []InstanceStatus
	for _, w := range wires {
		list = append(list, InstanceStatus{
			Name: w.Name, Address: w.Address, Zone: w.Zone, Domain: w.Domain, Service: w.Service,
			Group: w.Group, Leaving: w.Leaving, Drained: w.Drained, Held: w.Held, Quarantined: w.Quarantined,
		})
	}
	return list, nil
}

// EncodeConfirmations encodes confirmations as JSON.
func EncodeConfirmations(list []Confirmation) []byte {
	wires := []confirmationWire{}
	for _, c := range list {
		wires = append(wires, confirmationWire{Entry: c.Entry, Zone: c.Zone, Revision: c.Revision, Reached: c.Reached})
	}
	return encode(wires)
}

// DecodeConfirmations decodes confirmations from JSON.
func DecodeConfirmations(encoded []byte) ([]Confirmation, error) {
	var wires []confirmationWire
	if err := decode(encoded, &wires); err != nil {
		return nil, err
	}
	var list []Confirmation
	for _, w := range wires {
		list = append(list, Confirmation{Entry: w.Entry, Zone: w.Zone, Revision: w.Revision, Reached: w.Reached})
	}
	return list, nil
}

// EncodeConfiguration encodes a configuration as JSON.
func EncodeConfiguration(c Configuration) []byte {
	w := configurationWire{Revision: c.Revision, Defaults: *defaultsToWire(c.Defaults), Changes: []changeWire{}}
	for _, change := range c.Changes {
		w.Changes = append(w.Changes, changeToWire(change))
	}
	return encode(w)
}

// DecodeConfiguration decodes a configuration from JSON.
func DecodeConfiguration(encoded []byte) (Configuration, error) {
	var w configurationWire
	if err := decode(encoded, &w); err != nil {
		return Configuration{}, err
	}
	c := Configuration{Revision: w.Revision, Defaults: *defaultsFromWire(w.Defaults)}
	for _, change := range w.Changes {
		c.Changes = append(c.Changes, changeFromWire(change))
	}
	return c, nil
}

// EncodeProblem encodes a problem as JSON.
func EncodeProblem(p *Problem) []byte {
	w := problemWire{Error: p.Message, Problems: p.Details}
	if p.Conflict != nil {
		change := changeToWire(*p.Conflict)
		w.Conflict = &change
	}
	return encode(w)
}

// DecodeProblem decodes a problem with the given HTTP status from JSON. If the
// body is not a JSON problem, it becomes the message.
func DecodeProblem(status int, encoded []byte) *Problem {
	var w problemWire
	if json.Unmarshal(encoded, &w) != nil || w.Error == "" {
		w.Error = string(encoded)
	}
	p := &Problem{Status: status, Message: w.Error, Details: w.Problems}
	if w.Conflict != nil {
		change := changeFromWire(*w.Conflict)
		p.Conflict = &change
	}
	return p
}
