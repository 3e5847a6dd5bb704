package config

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ExceptionOptions holds the options of the config exception commands.
type ExceptionOptions struct {
	Factory      *factory.Factory
	Name         string
	Organisation string
	Setting      string
	Value        int
	Reason       string
}

type exceptionWire struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Setting      string `json:"setting"`
	Value        int    `json:"value"`
	Reason       string `json:"reason"`
	Author       string `json:"author"`
}

func newExceptionList(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ExceptionOptions{Factory: f}
	cmd := parent.Command("list", "List the exceptions with their reasons.\n\nExample:\n  hibiscuspulley config exception list")
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunExceptionList(ctx, opts) })
	})
}

// RunExceptionList lists the exceptions.
func RunExceptionList(ctx context.Context, opts *ExceptionOptions) error {
	f := opts.Factory
	_, configuration, err := f.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	wires := []exceptionWire{}
	var rows [][]string
	for _, c := range factory.Entities(configuration, operator.KindException) {
		e := c.Exception
		wires = append(wires, exceptionWire{
			Name: e.Name, Organisation: e.Organisation, Setting: string(e.Setting), Value: e.Value,
			Reason: c.Reason, Author: c.Author,
		})
		rows = append(rows, []string{e.Name, e.Organisation, string(e.Setting), strconv.Itoa(e.Value), c.Author, c.Reason})
	}
	if f.Flags.JSON {
		return f.WriteJSON(wires)
	}
	return f.WriteTable([]string{"NAME", "ORGANISATION", "SETTING", "VALUE", "AUTHOR", "REASON"}, rows)
}

func newExceptionAdd(parent *kingpin.CmdClause, f *factory.Factory) {
	opts := &ExceptionOptions{Factory: f}
	cmd := parent.Command("add", "Add an exception.\n\nExample:\n  hibiscuspulley config exception add north-peak --organisation trolley-north --setting weight --value 20 --reason 'holiday traffic until 10 January'")
	cmd.Arg("name", "Exception.").Required().StringVar(&opts.Name)
	cmd.Flag("organisation", "Organisation.").Required().StringVar(&opts.Organisation)
	cmd.Flag("setting", "Setting to override: weight or max-in-flight.").Required().EnumVar(&opts.Setting, "weight", "max-in-flight")
	cmd.Flag("value", "Value.").Required().IntVar(&opts.Value)
	cmd.Flag("reason", "Reason, shown to the whole consortium.").Required().StringVar(&opts.Reason)
	cmd.Action(func(*kingpin.ParseContext) error {
		return f.Action(func(ctx context.Context) error { return RunExceptionAdd(ctx, opts) })
	})
}

// RunExceptionAdd adds an exception. It fails if the name is already in use.
func RunExceptionAdd(ctx context.Context, opts *ExceptionOptions) error {
	client, err := opts.Factory.Operator()
	if err != nil {
		return err
	}
	return opts.Factory.Apply(ctx, client, operator.Change{
		Kind: operator.KindException, Name: opts.Name, Reason: opts.Reason,
		Exception: &operator.Exception{
			Name: opts.Name, Organisation: opts.Organisation,
			Setting: operator.Setting(opts.Setting), Value: opts.Value,
		},
	})
}
