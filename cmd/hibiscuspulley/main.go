// Command hibiscuspulley runs and operates the serving system.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/root"
)

func main() {
	f := factory.New()
	app := root.New(f)
	app.Terminate(os.Exit)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(f.Err, "hibiscuspulley:", err)
		os.Exit(factory.ExitCode(err))
	}
}
