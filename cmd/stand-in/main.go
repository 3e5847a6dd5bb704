// Command stand-in runs test servers that emulate the hosting platform, model
// engines and plain services as separate processes.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/standin"
)

func main() {
	f := factory.New()
	app := standin.New(f)
	app.Terminate(os.Exit)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(f.Err, "stand-in:", err)
		os.Exit(factory.ExitCode(err))
	}
}
