// Package gateway is the command that runs an entry instance in front of
// backend servers whose answers are passed on unchanged.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
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
	// logLinesPerSecond bounds the log; a busy entry writes about 100.
	logLinesPerSecond = 400
	// logDrain bounds the wait for a stuck output at the end.
	logDrain = 200 * time.Millisecond
	// idleConnections is kept short: a connection that has gone silent costs
	// a timeout.
	idleConnections = 5 * time.Second
	maxIdleStore    = 6
	// userTimeout ends calls on connections whose bytes stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
)

// Options are the command's options.
type Options struct {
	Factory *factory.Factory
	// SettingsFile is the gateway's settings file.
	SettingsFile string
}

// New adds the command to the application.
func New(app *kingpin.Application, f *factory.Factory) {
	opts := &Options{Factory: f}
	cmd := app.Command("gateway", "Run an entry instance in front of the hosting platform's backend servers.\n\n"+
		"Example:\n  hibiscuspulley gateway --settings gateway-a1.json")
	cmd.Flag("settings", "Settings file: JSON with comments.").Required().StringVar(&opts.SettingsFile)
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := f.Context()
		defer cancel()
		return Run(ctx, opts)
	})
}

// Run runs the entry until ctx ends, then shuts it down in order.
func Run(ctx context.Context, opts *Options) error {
	s, err := settings.LoadGateway(opts.SettingsFile)
	if err != nil {
		return err
	}
	out := decisionlog.NewWriter(opts.Factory.Out, logLinesPerSecond)
	defer out.Close(logDrain)
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "read log-level")
	}
	logger.SetLevel(level)
	g, err := gateway.New(s, hosting(s), logger)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			reload(opts, s, logger)
		case <-ctx.Done():
			g.Shutdown(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// reload reads the settings file again. The log level follows it; what else
// has changed takes a restart, and is told.
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

// hosting returns the hosting platform's interfaces.
func hosting(s settings.Gateway) gateway.Platform {
	orders := platform.NewServerClient(client(backend.Dialer(userTimeout), 1))
	return gateway.Platform{
		Store:         platform.NewStore(s.StoreAddress, client(backend.Dialer(userTimeout), maxIdleStore)),
		Protocol:      platform.Protocol(),
		OperatorTable: platform.OperatorTable,
		ServerTable:   platform.ServerTable,
		IsConfig:      platform.IsConfig,
		EvacuatedZone: platform.EvacuatedZone,
		DecodeConfig:  platform.DecodeConfig,
		DecodeServer:  platform.DecodeServer,
		SendOrder:     orders.Send,
		FetchServer:   orders.Report,
	}
}

func client(dialer *net.Dialer, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleConnections,
		DisableCompression: true,
	}}
}
