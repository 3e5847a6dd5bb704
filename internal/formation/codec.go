package formation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

type memberWire struct {
	ID        string `json:"id"`
	StartTime int64  `json:"born"`
}

type groupWire struct {
	Name    string       `json:"name"`
	Epoch   int64        `json:"epoch"`
	Model   string       `json:"model"`
	Members []memberWire `json:"members"`
}

// EncodeGroup returns the stored record of a group.
func EncodeGroup(g *Group) []byte {
	w := groupWire{Name: g.ID.Name, Epoch: g.ID.Epoch, Model: g.Model}
	for _, m := range g.Members {
		w.Members = append(w.Members, memberWire{ID: m.ID, StartTime: m.StartTime})
	}
	encoded, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return encoded
}

// DecodeGroup decodes the record of a group that an earlier controller formed. It
// returns the group in the Forming phase; its leader may have been ordered to open,
// and now counts as the time of that order (see RestoreGroup). A record without a
// name or members is an error.
func DecodeGroup(value []byte, now time.Time) (*Group, error) {
	var w groupWire
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, "decode replica group record")
	}
	if w.Name == "" || len(w.Members) == 0 {
		return nil, errors.New("replica group record has no name or no members")
	}
	members := make([]registry.Incarnation, 0, len(w.Members))
	for _, m := range w.Members {
		members = append(members, registry.Incarnation{ID: m.ID, StartTime: m.StartTime})
	}
	return RestoreGroup(registry.GroupID{Name: w.Name, Epoch: w.Epoch}, w.Model, members, now), nil
}
