// Package report implements the commands that report on the fleet.
package report

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/burn"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// defaultTarget is the share of requests that must meet the objectives of a
// service without a target.
const defaultTarget = 0.95

// BurnOptions holds the options of report burn.
type BurnOptions struct {
	Factory *factory.Factory
	// By selects a further dimension of the report: organisation or zone.
	// service adds none, since every row belongs to one service.
	By string
}

// New adds the report commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("report", "Report on the fleet.")
	opts := &BurnOptions{Factory: f}
	cmd := parent.Command("burn", "Show the burn rates of the services' error budgets. At a rate of 1 a budget is used up exactly.\n\nExample:\n  hibiscuspulley report burn --by zone")
	cmd.Flag("by", "Dimension to group by: service, organisation or zone.").Default("service").EnumVar(&opts.By, "service", "organisation", "zone")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunBurn(ctx, opts) })
	})
}

type rowWire struct {
	Service       string  `json:"service"`
	Organisation  string  `json:"organisation,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Objective     string  `json:"objective"`
	WindowSeconds int64   `json:"window-seconds"`
	Good          int64   `json:"good"`
	Bad           int64   `json:"bad"`
	Target        float64 `json:"target"`
	BurnRate      float64 `json:"burn-rate"`
}

type reportWire struct {
	Rows      []rowWire `json:"rows"`
	Unreached []string  `json:"unreached"`
}

// RunBurn collects the counts of all entries and prints the burn rates.
func RunBurn(ctx context.Context, opts *BurnOptions) error {
	f := opts.Factory
	client, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	burnReport, err := client.Burn(ctx)
	if err != nil {
		return err
	}
	report := reportWire{Rows: rows(burnReport, opts.By, targets(configuration)), Unreached: burnReport.Unreached}
	if f.Flags.JSON {
		return f.WriteJSON(report)
	}
	return write(f, report)
}

func targets(configuration operator.Configuration) map[string]float64 {
	byService := make(map[string]float64)
	for _, c := range factory.Entities(configuration, operator.KindService) {
		byService[c.Name] = c.Service.Objectives.Target
	}
	return byService
}

// rows sums the counts by service, objective, window and the dimension by, and
// returns the sums with their burn rates in sorted order.
func rows(burnReport operator.BurnReport, by string, target map[string]float64) []rowWire {
	sums := make(map[rowWire]*rowWire)
	for _, b := range burnReport.Counts {
		key := rowWire{Service: b.Service, Objective: b.Objective, WindowSeconds: int64(b.Window / time.Second)}
		switch by {
		case "organisation":
			key.Organisation = b.Organisation
		case "zone":
			key.Zone = b.Zone
		}
		if sums[key] == nil {
			row := key
			sums[key] = &row
		}
		sums[key].Good += b.Good
		sums[key].Bad += b.Bad
	}
	list := make([]rowWire, 0, len(sums))
	for _, row := range sums {
		row.Target = target[row.Service]
		if row.Target == 0 {
			row.Target = defaultTarget
		}
		row.BurnRate = burn.Rate(row.Good, row.Bad, row.Target)
		list = append(list, *row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].key() < list[j].key() })
	return list
}

func (r rowWire) key() string {
	return fmt.Sprintf("%s/%s/%s/%s/%8d", r.Service, r.Objective, r.Organisation, r.Zone, r.WindowSeconds)
}

func write(f *factory.Factory, report reportWire) error {
	table := make([][]string, 0, len(report.Rows))
	for _, r := range report.Rows {
		table = append(table, []string{
			r.Service, r.Objective, r.Organisation + r.Zone,
			(time.Duration(r.WindowSeconds) * time.Second).String(),
			strconv.FormatInt(r.Good, 10), strconv.FormatInt(r.Bad, 10),
			strconv.FormatFloat(r.Target, 'g', 3, 64), strconv.FormatFloat(r.BurnRate, 'f', 2, 64),
		})
	}
	if err := f.WriteTable([]string{"SERVICE", "OBJECTIVE", "OF", "WINDOW", "GOOD", "BAD", "TARGET", "BURN RATE"}, table); err != nil {
		return err
	}
	for _, entry := range report.Unreached {
		fmt.Fprintln(f.Err, "not reached:", entry)
	}
	return nil
}
