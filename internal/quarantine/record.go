package quarantine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Table is the table of the store that holds one row per part in quarantine. The
// row's key is the part.
const Table = "quarantine"

// Record is a part in quarantine as the store holds it.
type Record struct {
	Part string
	// Entry is the entry that recorded it.
	Entry string
	// Servers and Requests name the crashes that led to it.
	Servers  []string
	Requests []string
	// Trials counts the requests that were let through to try the part again.
	Trials int
}

type recordWire struct {
	Entry    string   `json:"entry"`
	Servers  []string `json:"servers"`
	Requests []string `json:"requests"`
	Trials   int      `json:"trials"`
}

// Encode returns the value of the record's row.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(recordWire{Entry: r.Entry, Servers: r.Servers, Requests: r.Requests, Trials: r.Trials})
	return value, errors.Wrapf(err, "encode the quarantine of part %s", r.Part)
}

// DecodeRecord decodes the row of a part.
func DecodeRecord(part string, value []byte) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(value, &w); err != nil {
		return Record{}, errors.Wrapf(err, "decode the quarantine of part %s", part)
	}
	return Record{Part: part, Entry: w.Entry, Servers: w.Servers, Requests: w.Requests, Trials: max(w.Trials, 0)}, nil
}
