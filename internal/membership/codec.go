package membership

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

type sessionWire struct {
	Entry       string  `json:"entry"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation string  `json:"incarnation"`
	Epoch       uint64  `json:"epoch"`
	Counter     uint64  `json:"counter"`
	State       string  `json:"state"`
	WriteID     string  `json:"attempt"`
	Strength    float64 `json:"strength,omitempty"`
	Era         int64   `json:"era,omitempty"`
}

// Encode encodes the session as the value of a table row.
func Encode(s Session) []byte {
	encoded, err := json.Marshal(sessionWire{
		Entry:       s.Entry,
		Zone:        s.Zone,
		Address:     s.Address,
		Incarnation: s.Incarnation,
		Epoch:       s.Epoch,
		Counter:     s.Counter,
		State:       string(s.State),
		WriteID:     s.WriteID,
		Strength:    s.Strength,
		Era:         s.Era,
	})
	if err != nil {
		panic(err) // a struct of strings and integers cannot fail to encode
	}
	return encoded
}

// Decode returns the session in a table row, with the row's version.
func Decode(row platform.Row) (Row, error) {
	var w sessionWire
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Row{}, errors.Wrapf(err, "decode the session row %s", row.Key)
	}
	s := Session{
		Entry:       w.Entry,
		Zone:        w.Zone,
		Address:     w.Address,
		Incarnation: w.Incarnation,
		Epoch:       w.Epoch,
		Counter:     w.Counter,
		State:       State(w.State),
		WriteID:     w.WriteID,
		Strength:    w.Strength,
		Era:         w.Era,
	}
	return Row{Session: s, Version: row.Version}, nil
}

// WriteTransaction returns the transaction that replaces the session row if the
// row still has the given version.
func WriteTransaction(s Session, version int64) platform.Transaction {
	key := Key(s.Zone, s.Entry)
	return platform.Transaction{
		Compares: []platform.Compare{{Key: key, Version: version}},
		Puts:     []platform.Put{{Key: key, Value: Encode(s)}},
	}
}
