package group

import (
	"context"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/timeline"
)

// TimelineOptions holds the options of group timeline.
type TimelineOptions struct {
	Factory *factory.Factory
	// LogFile holds the log lines of all gateways.
	LogFile string
	// PictureFile is the SVG file to write, or empty for none.
	PictureFile string
}

type pointWire struct {
	At       string                `json:"at"`
	Groups   map[string]groupsWire `json:"groups"`
	Served   int                   `json:"served"`
	Rejected int                   `json:"rejected"`
	Failed   int                   `json:"failed"`
}

type groupsWire struct {
	Forming int `json:"forming"`
	Serving int `json:"serving"`
	Ending  int `json:"ending"`
}

func newTimeline(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &TimelineOptions{Factory: f}
	cmd := parent.Command("timeline", "Show from gateways' logs how many groups of each model there were, second by second.\n\nExample:\n  hibiscuspulley group timeline --log gateways.log --picture groups.svg")
	cmd.Flag("log", "File with the log lines of all gateways.").Required().StringVar(&opts.LogFile)
	cmd.Flag("picture", "SVG file to write.").StringVar(&opts.PictureFile)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(context.Context) error { return RunTimeline(opts) })
	})
}

// RunTimeline reads the log, prints the timeline and draws it.
func RunTimeline(opts *TimelineOptions) error {
	file, err := os.Open(opts.LogFile)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer file.Close()
	t, err := timeline.Read(file)
	if err != nil {
		return err
	}
	if len(t.Points) == 0 {
		return errors.Errorf("%s has no lines about groups or requests; give the log of gateways, at level info", opts.LogFile)
	}
	if opts.PictureFile != "" {
		if err := writePicture(opts.PictureFile, t); err != nil {
			return err
		}
	}
	if opts.Factory.Flags.JSON {
		return opts.Factory.WriteJSON(pointsToWire(t))
	}
	return opts.Factory.WriteTable(timelineTable(t))
}

func writePicture(name string, t timeline.Timeline) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the picture")
	}
	if err := t.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close the picture")
}

func pointsToWire(t timeline.Timeline) []pointWire {
	wires := make([]pointWire, 0, len(t.Points))
	for _, p := range t.Points {
		w := pointWire{
			At: p.At.UTC().Format("2006-01-02T15:04:05Z"), Groups: make(map[string]groupsWire),
			Served: p.Served, Rejected: p.Rejected, Failed: p.Failed,
		}
		for model, n := range p.Groups {
			w.Groups[model] = groupsWire{Forming: n.Forming, Serving: n.Serving, Ending: n.Ending}
		}
		wires = append(wires, w)
	}
	return wires
}

// timelineTable returns the header and rows: for each model the groups that serve,
// and in brackets those that end.
func timelineTable(t timeline.Timeline) ([]string, [][]string) {
	header := append(append([]string{"TIME"}, t.Models...), "SERVED", "REJECTED", "FAILED")
	var rows [][]string
	for _, p := range t.Points {
		row := []string{p.At.UTC().Format("15:04:05")}
		for _, model := range t.Models {
			n := p.Groups[model]
			cell := strconv.Itoa(n.Serving)
			if n.Ending > 0 {
				cell += " (" + strconv.Itoa(n.Ending) + " ending)"
			}
			row = append(row, cell)
		}
		rows = append(rows, append(row, strconv.Itoa(p.Served), strconv.Itoa(p.Rejected), strconv.Itoa(p.Failed)))
	}
	return header, rows
}
