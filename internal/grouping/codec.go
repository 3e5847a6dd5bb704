package grouping

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

type memberWire struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	ChecksFencing bool   `json:"checks-fencing"`
}

type groupWire struct {
	Name       string       `json:"name"`
	Service    string       `json:"service"`
	Model      string       `json:"model"`
	Zone       string       `json:"zone"`
	Domain     string       `json:"domain"`
	Members    []memberWire `json:"members"`
	Entry      string       `json:"owner-entry"`
	Epoch      uint64       `json:"owner-epoch"`
	Generation uint64       `json:"generation"`
	Attempt    string       `json:"attempt"`
}

type assignmentWire struct {
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Group       string `json:"group"`
	Generation  uint64 `json:"generation"`
	Quarantined bool   `json:"quarantined"`
	Attempt     string `json:"attempt"`
}

// encode encodes a wire struct as JSON.
func encode(wire any) []byte {
	encoded, err := json.Marshal(wire)
	if err != nil {
		panic(err) // the wire structs hold only types that cannot fail to encode
	}
	return encoded
}

// EncodeGroup encodes the group as the value of a table row.
func EncodeGroup(g Group) []byte {
	w := groupWire{
		Name: g.Name, Service: g.Service, Model: g.Model, Zone: g.Zone, Domain: g.Domain,
		Entry: g.Owner.Entry, Epoch: g.Owner.Epoch, Generation: g.Generation, Attempt: g.Attempt,
	}
	for _, m := range g.Members {
		w.Members = append(w.Members, memberWire{
			Instance: m.Instance, Address: m.Address, ChecksFencing: m.ChecksFencing,
		})
	}
	return encode(w)
}

// DecodeGroup decodes a group from a table row.
func DecodeGroup(row platform.Row) (GroupRow, error) {
	var w groupWire
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return GroupRow{}, errors.Wrapf(err, "decode the group row %s", row.Key)
	}
	g := Group{
		Name: w.Name, Service: w.Service, Model: w.Model, Zone: w.Zone, Domain: w.Domain,
		Owner: Owner{Entry: w.Entry, Epoch: w.Epoch}, Generation: w.Generation, Attempt: w.Attempt,
	}
	for _, m := range w.Members {
		g.Members = append(g.Members, Member{
			Instance: m.Instance, Address: m.Address, ChecksFencing: m.ChecksFencing,
		})
	}
	return GroupRow{Group: g, Version: row.Version}, nil
}

// EncodeAssignment encodes the assignment as the value of a table row.
func EncodeAssignment(a Assignment) []byte {
	return encode(assignmentWire{
		Instance: a.Instance, Zone: a.Zone, Group: a.Group,
		Generation: a.Generation, Quarantined: a.Quarantined, Attempt: a.Attempt,
	})
}

// DecodeAssignment decodes an assignment from a table row.
func DecodeAssignment(row platform.Row) (AssignmentRow, error) {
	var w assignmentWire
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return AssignmentRow{}, errors.Wrapf(err, "decode the instance row %s", row.Key)
	}
	a := Assignment{
		Instance: w.Instance, Zone: w.Zone, Group: w.Group,
		Generation: w.Generation, Quarantined: w.Quarantined, Attempt: w.Attempt,
	}
	return AssignmentRow{Assignment: a, Version: row.Version}, nil
}
