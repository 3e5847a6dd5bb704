// Package gateway implements the gateway command, which runs an entry instance
// that forwards the responses of backend servers unchanged.
package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/command/factory"
	"github.com/hibiscuspulley/hibiscuspulley/internal/decisionlog"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/platform"
)

const (
	// maxLogLinesPerSecond limits the log; a busy entry writes about 100 lines
	// per second.
	maxLogLinesPerSecond = 400
	// logDrainFraction is the fraction of the grace time for which a stopped entry waits
	// for a slow log output. minLogDrain is the shortest such time.
	logDrainFraction  = 1.0 / 16
	minLogDrain       = 200 * time.Millisecond
	maxIdleStoreConns = 6
	// heapFraction is the fraction of the instance's memory above which the Go
	// runtime collects garbage more often. The program's code and the kernel's
	// buffers take the rest.
	heapFraction = 0.75
	// tcpUserTimeout closes connections whose sent data stays unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
)

// Options holds the options of gateway.
type Options struct {
	Factory *factory.Factory
	// SettingsFile is the path of the gateway's settings file.
	SettingsFile string
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	cmd := app.Command("gateway", "Run an entry instance in front of the hosting platform's backend servers.\n\n"+
		"Example:\n  hibiscuspulley gateway --settings gateway-a1.json")
	cmd.Flag("settings", "Settings file in JSON with comments.").Required().StringVar(&opts.SettingsFile)
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := f.Context()
		defer cancel()
		return Run(ctx, opts)
	})
}

// Run runs the entry until ctx is cancelled, then shuts it down gracefully.
// SIGHUP reloads the settings file.
func Run(ctx context.Context, opts *Options) error {
	s, err := settings.LoadGateway(opts.SettingsFile)
	if err != nil {
		return err
	}
	factory.OutliveOutput()
	logOutput := decisionlog.NewWriter(opts.Factory.Out, maxLogLinesPerSecond)
	defer logOutput.Close(max(minLogDrain, time.Duration(logDrainFraction*float64(s.Bounds.Grace))))
	logger := logrus.New()
	logger.SetOutput(logOutput)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "read log-level")
	}
	logger.SetLevel(level)
	g, err := gateway.New(s, newPlatform(s), logger)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(s.Limits.MemoryBytes)))
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			reload(opts, s, logger)
		case <-ctx.Done():
			logOutput.Unlimit()
			g.Shutdown(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// reload reads the settings file again and applies the log level. Other changed
// settings take effect only after a restart, which the log event reports.
func reload(opts *Options, running settings.Gateway, logger *logrus.Logger) {
	next, err := settings.LoadGateway(opts.SettingsFile)
	if err != nil {
		event.SettingsRejected.Log(logger, logrus.Fields{"file": opts.SettingsFile, "error": err})
		return
	}
	if level, err := logrus.ParseLevel(next.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	next.LogLevel, next.FirstStart = running.LogLevel, running.FirstStart
	event.SettingsReloaded.Log(logger, logrus.Fields{
		"file": opts.SettingsFile, "needs-restart": !reflect.DeepEqual(next, running),
	})
}

// newPlatform returns the interfaces of the hosting platform.
func newPlatform(s settings.Gateway) gateway.Platform {
	servers := platform.NewServerClient(platform.NewHTTPClient(backend.Dialer(tcpUserTimeout), 1))
	return gateway.Platform{
		Store:         platform.NewStore(s.StoreAddress, platform.NewHTTPClient(backend.Dialer(tcpUserTimeout), maxIdleStoreConns)),
		Protocol:      platform.Protocol(),
		OperatorTable: platform.OperatorTable,
		ServerTable:   platform.ServerTable,
		IsConfig:      platform.IsConfig,
		EvacuatedZone: platform.EvacuatedZone,
		DecodeConfig:  platform.DecodeConfig,
		DecodeServer:  platform.DecodeServer,
		SendOrder:     servers.SendOrder,
		FetchServer:   servers.FetchServer,
	}
}
