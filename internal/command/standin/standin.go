// Package standin implements the commands that run stand-ins as separate
// processes.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// New returns the application with one command per stand-in.
func New(f *factory.Factory) *kingpin.Application {
	app := kingpin.New("stand-in", "Run a test server that emulates an external service of the product.")
	app.HelpFlag.Short('h')
	addPlatform(app, f)
	addEngine(app, f)
	addService(app, f)
	addStore(app, f)
	return app
}

func addPlatform(app *kingpin.Application, f *factory.Factory) {
	cmd := app.Command("platform", "Run the table service, object store and instance list.\n\nExample:\n  stand-in platform --address 127.0.0.1:7000 --instances instances.json")
	address := cmd.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	instances := cmd.Flag("instances", "Instance list in the Prometheus HTTP service discovery format.").String()
	var faults standin.PlatformFaults
	cmd.Flag("outage", "Return status 503 for every request.").BoolVar(&faults.Outage)
	cmd.Flag("lose-answers", "Close the connection after a write has taken effect, without a response.").BoolVar(&faults.LoseResponses)
	cmd.Flag("latency-ms", "Delay of each response in milliseconds.").IntVar(&faults.LatencyMS)
	cmd.Flag("writes-per-second", "Maximum writes per second; 0 for no limit.").IntVar(&faults.WritesPerSecond)
	cmd.Flag("reads-per-second", "Maximum reads per second; 0 for no limit.").IntVar(&faults.ReadsPerSecond)
	cmd.Flag("list-lag-ms", "Staleness of the instance list in milliseconds.").IntVar(&faults.ListLagMS)
	cmd.Action(func(*kingpin.ParseContext) error {
		platform := standin.NewPlatform()
		platform.SetFaults(faults)
		if err := loadInstances(platform, *instances); err != nil {
			return err
		}
		return run(f, *address, platform)
	})
}

func loadInstances(platform *standin.Platform, file string) error {
	if file == "" {
		return nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the instance list")
	}
	var list []standin.InstanceLabels
	if err := json.Unmarshal(content, &list); err != nil {
		return errors.Wrap(err, "decode the instance list")
	}
	platform.SetInstances(list)
	return nil
}

func addEngine(app *kingpin.Application, f *factory.Factory) {
	cmd := app.Command("engine", "Run model engines, one for each address.\n\nExample:\n  stand-in engine --addresses 127.0.0.1:7101,127.0.0.1:7102")
	addresses := cmd.Flag("addresses", "Addresses to listen on, separated by commas.").Required().String()
	checksFencing := cmd.Flag("fences", "Reject orders with a stale generation.").Default("true").Bool()
	var speed standin.EngineSpeed
	cmd.Flag("token-interval", "Time between tokens.").Default("20ms").DurationVar(&speed.TokenInterval)
	cmd.Flag("prefill-per-token", "Prefill time per prompt token.").Default("200us").DurationVar(&speed.PrefillPerToken)
	cmd.Flag("load-time", "Time to load a model.").Default("1s").DurationVar(&speed.LoadTime)
	cmd.Flag("cold-time", "Time that an engine stays cold after loading its model.").Default("2s").DurationVar(&speed.ColdTime)
	cmd.Flag("slots", "Maximum concurrent responses.").Default("16").IntVar(&speed.Slots)
	cmd.Flag("cold-limit", "Maximum concurrent requests of a cold engine.").Default("2").IntVar(&speed.ColdLimit)
	cmd.Action(func(*kingpin.ParseContext) error {
		list := strings.Split(*addresses, ",")
		for _, address := range list[1:] {
			engine := newEngine(speed, *checksFencing)
			go func() { _ = run(f, address, engine) }()
		}
		return run(f, list[0], newEngine(speed, *checksFencing))
	})
}

// newEngine returns an engine that probes the other members of its group over
// the network to detect missing ones.
func newEngine(speed standin.EngineSpeed, checksFencing bool) *standin.Engine {
	e := standin.NewEngine(speed, checksFencing)
	prober := standin.NewMemberProber()
	e.MemberMissing = prober.Missing
	return e
}

func addService(app *kingpin.Application, f *factory.Factory) {
	cmd := app.Command("service", "Run a plain service that counts the executions of each record.\n\nExample:\n  stand-in service --address 127.0.0.1:7201")
	address := cmd.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	var faults standin.ServiceFaults
	cmd.Flag("refuse-not-run", "Reject calls and report that they did not run.").BoolVar(&faults.RejectNotRun)
	cmd.Flag("lose-answers", "Close the connection after the call has run, without a response.").BoolVar(&faults.LoseResponses)
	cmd.Flag("latency-ms", "Delay of each response in milliseconds.").IntVar(&faults.LatencyMS)
	cmd.Action(func(*kingpin.ParseContext) error {
		service := standin.NewService(standin.NewRecords())
		service.SetFaults(faults)
		return run(f, *address, service)
	})
}

// run serves until the context is cancelled. It prints the address, which
// scripts need if the kernel chose the port.
func run(f *factory.Factory, address string, handler http.Handler) error {
	ctx, cancel := f.Context()
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	if _, err := fmt.Fprintln(f.Out, listener.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
