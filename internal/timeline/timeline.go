// Package timeline reconstructs from gateways' logs how many replica groups of each
// model there were over time, and how many requests were rejected or failed.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Groups counts the groups of one model by what they do.
type Groups struct {
	// Forming groups are planned or wait for their members. Ending groups take no
	// new requests; their members are not free yet.
	Forming, Serving, Ending int
}

// Point is the state at the end of one second.
type Point struct {
	At     time.Time
	Groups map[string]Groups
	// Served, Rejected and Failed count the requests that ended in that second:
	// served, answered 503 without having run, or failed otherwise.
	Served, Rejected, Failed int
}

// Timeline is the state of a deployment over time, one point a second.
type Timeline struct {
	// Models lists the models in alphabetical order.
	Models []string
	Points []Point
}

// record holds the fields of the log lines that a Timeline is made of.
type record struct {
	Event  int       `json:"event"`
	Time   time.Time `json:"time"`
	Group  string    `json:"group"`
	Model  string    `json:"model"`
	Phase  string    `json:"phase"`
	Status int       `json:"status"`
}

// Read reads the log lines of all entries of a deployment, in any order. Text before
// a line's JSON object and lines without one are skipped.
func Read(r io.Reader) (Timeline, error) {
	var records []record
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var rec record
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &rec) != nil {
			continue // not a line of a gateway's log
		}
		switch rec.Event {
		case event.GroupPhaseChanged.Number, event.RequestServed.Number, event.RequestFailed.Number, event.StreamCut.Number:
			records = append(records, rec)
		}
	}
	if err := lines.Err(); err != nil {
		return Timeline{}, errors.Wrap(err, "read the log")
	}
	slices.SortStableFunc(records, func(a, b record) int { return a.Time.Compare(b.Time) })
	return build(records), nil
}

func build(records []record) Timeline {
	var t Timeline
	if len(records) == 0 {
		return t
	}
	type group struct{ model, phase string }
	groups := make(map[string]group)
	models := make(map[string]bool)
	point := Point{At: records[0].Time.Truncate(time.Second).Add(time.Second)}
	closePoint := func() {
		point.Groups = make(map[string]Groups)
		for _, g := range groups {
			n := point.Groups[g.model]
			switch g.phase {
			case formation.Planned.String(), formation.Forming.String():
				n.Forming++
			case formation.Serving.String():
				n.Serving++
			default:
				n.Ending++
			}
			point.Groups[g.model] = n
		}
		t.Points = append(t.Points, point)
		point = Point{At: point.At.Add(time.Second)}
	}
	for _, rec := range records {
		for !rec.Time.Before(point.At) {
			closePoint()
		}
		switch {
		case rec.Event == event.RequestServed.Number:
			point.Served++
		case rec.Event == event.RequestFailed.Number && rec.Status == 503:
			point.Rejected++
		case rec.Event == event.RequestFailed.Number, rec.Event == event.StreamCut.Number:
			point.Failed++
		case rec.Phase == formation.Ended.String():
			delete(groups, rec.Group)
		default:
			models[rec.Model] = true
			groups[rec.Group] = group{rec.Model, rec.Phase}
		}
	}
	closePoint()
	t.Models = slices.Sorted(maps.Keys(models))
	return t
}
