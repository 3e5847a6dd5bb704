// Package settings implements the commands that check settings files.
package settings

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/findings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

// CheckOptions holds the options of settings check.
type CheckOptions struct {
	Factory *factory.Factory
	File    string
	// Gateway selects the settings of the gateway command instead of those of
	// serve.
	Gateway bool
}

// New adds the settings commands to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	parent := app.Command("settings", "Check settings files.")
	opts := &CheckOptions{Factory: f}
	check := parent.Command("check", "Report all errors in a settings file with line, column and remedy.\n\nExample:\n  hibiscuspulley settings check entry-a1.json")
	check.Arg("file", "Settings file.").Required().StringVar(&opts.File)
	check.Flag("gateway", "Check the file as settings of the gateway command.").BoolVar(&opts.Gateway)
	check.Action(func(*kingpin.ParseContext) error { return RunCheck(opts) })
}

type findingWire struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// RunCheck prints the findings and fails if there are any.
func RunCheck(opts *CheckOptions) error {
	var err error
	if opts.Gateway {
		_, err = settings.LoadGateway(opts.File)
	} else {
		_, err = settings.Load(opts.File)
	}
	var list findings.List
	if err != nil && !errors.As(err, &list) {
		return err
	}
	if err := write(opts.Factory, list); err != nil {
		return err
	}
	if len(list) > 0 {
		return errors.Errorf("%s: %d findings; correct them and check again", opts.File, len(list))
	}
	return nil
}

func write(f *factory.Factory, list findings.List) error {
	if f.Flags.JSON {
		wires := []findingWire{}
		for _, finding := range list {
			wires = append(wires, findingWire{
				File: finding.File, Line: finding.Line, Column: finding.Column, Message: finding.Message, Remedy: finding.Remedy,
			})
		}
		return f.WriteJSON(wires)
	}
	for _, finding := range list {
		if _, err := fmt.Fprintln(f.Out, finding); err != nil {
			return err
		}
	}
	return nil
}
