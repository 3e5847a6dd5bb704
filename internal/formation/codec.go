package formation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

type memberWire struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

type groupWire struct {
	Name    string       `json:"name"`
	Epoch   int64        `json:"epoch"`
	Model   string       `json:"model"`
	Members []memberWire `json:"members"`
}

// EncodeGroup returns the group's record.
func EncodeGroup(g *Group) []byte {
	w := groupWire{Name: g.ID.Name, Epoch: g.ID.Epoch, Model: g.Model}
	for _, l := range g.Members {
		w.Members = append(w.Members, memberWire{ID: l.ID, Born: l.StartTime})
	}
	encoded, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return encoded
}

// DecodeGroup reads the record of a group that an earlier steward formed.
func DecodeGroup(value []byte, now time.Time) (*Group, error) {
	var w groupWire
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "decode the record of a replica group")
	}
	if w.Name == "" || len(w.Members) == 0 {
		return nil, errors.New("the record of a replica group lacks its name or members")
	}
	members := make([]registry.Incarnation, 0, len(w.Members))
	for _, m := range w.Members {
		members = append(members, registry.Incarnation{ID: m.ID, StartTime: m.Born})
	}
	return RestoreGroup(registry.GroupID{Name: w.Name, Epoch: w.Epoch}, w.Model, members, now), nil
}
