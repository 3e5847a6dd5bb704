package operator

import "time"

// ObjectiveCounts is how requests met one objective over one window.
type ObjectiveCounts struct {
	Service      string
	Organisation string
	Zone         string
	Objective    string
	Window       time.Duration
	Good         int64
	Bad          int64
}

// BurnReport gathers the counts of the entries that answered.
type BurnReport struct {
	Counts []ObjectiveCounts
	// Unreached lists the entries that did not answer.
	Unreached []string
}

type burnWire struct {
	Service       string `json:"service"`
	Organisation  string `json:"organisation"`
	Zone          string `json:"zone"`
	Objective     string `json:"objective"`
	WindowSeconds int64  `json:"window-seconds"`
	Good          int64  `json:"good"`
	Bad           int64  `json:"bad"`
}

type burnReportWire struct {
	Counts    []burnWire `json:"counts"`
	Unreached []string   `json:"unreached"`
}

// EncodeBurnReport returns a report as JSON.
func EncodeBurnReport(r BurnReport) []byte {
	w := burnReportWire{Counts: []burnWire{}, Unreached: append([]string{}, r.Unreached...)}
	for _, b := range r.Counts {
		w.Counts = append(w.Counts, burnWire{
			Service: b.Service, Organisation: b.Organisation, Zone: b.Zone, Objective: b.Objective,
			WindowSeconds: int64(b.Window / time.Second), Good: b.Good, Bad: b.Bad,
		})
	}
	return encode(w)
}

// DecodeBurnReport reads a report from JSON.
func DecodeBurnReport(encoded []byte) (BurnReport, error) {
	var w burnReportWire
	if err := decode(encoded, &w); err != nil {
		return BurnReport{}, err
	}
	r := BurnReport{Unreached: w.Unreached}
	for _, b := range w.Counts {
		r.Counts = append(r.Counts, ObjectiveCounts{
			Service: b.Service, Organisation: b.Organisation, Zone: b.Zone, Objective: b.Objective,
			Window: time.Duration(b.WindowSeconds) * time.Second, Good: b.Good, Bad: b.Bad,
		})
	}
	return r, nil
}
