package operator

import "time"

// ObjectiveCounts holds the numbers of requests that met (Good) and missed (Bad)
// an objective within a window.
type ObjectiveCounts struct {
	Service      string
	Organisation string
	Zone         string
	Objective    string
	Window       time.Duration
	Good         int64
	Bad          int64
}

// BurnReport holds the counts of all entries that responded.
type BurnReport struct {
	Counts []ObjectiveCounts
	// Unreached lists the entries that did not respond.
	Unreached []string
}

type objectiveCountsWire struct {
	Service       string `json:"service"`
	Organisation  string `json:"organisation"`
	Zone          string `json:"zone"`
	Objective     string `json:"objective"`
	WindowSeconds int64  `json:"window-seconds"`
	Good          int64  `json:"good"`
	Bad           int64  `json:"bad"`
}

type burnReportWire struct {
	Counts    []objectiveCountsWire `json:"counts"`
	Unreached []string              `json:"unreached"`
}

// EncodeBurnReport encodes a report as JSON.
func EncodeBurnReport(r BurnReport) []byte {
	w := burnReportWire{Counts: []objectiveCountsWire{}, Unreached: append([]string{}, r.Unreached...)}
	for _, c := range r.Counts {
		w.Counts = append(w.Counts, objectiveCountsWire{
			Service: c.Service, Organisation: c.Organisation, Zone: c.Zone, Objective: c.Objective,
			WindowSeconds: int64(c.Window / time.Second), Good: c.Good, Bad: c.Bad,
		})
	}
	return encode(w)
}

// DecodeBurnReport decodes a report from JSON.
func DecodeBurnReport(encoded []byte) (BurnReport, error) {
	var w burnReportWire
	if err := decode(encoded, &w); err != nil {
		return BurnReport{}, err
	}
	r := BurnReport{Unreached: w.Unreached}
	for _, c := range w.Counts {
		r.Counts = append(r.Counts, ObjectiveCounts{
			Service: c.Service, Organisation: c.Organisation, Zone: c.Zone, Objective: c.Objective,
			Window: time.Duration(c.WindowSeconds) * time.Second, Good: c.Good, Bad: c.Bad,
		})
	}
	return r, nil
}
