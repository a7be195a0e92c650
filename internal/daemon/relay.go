package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/entry"
	"github.com/marigoldscale/marigoldscale/internal/logs"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/platform/calls"
	"github.com/marigoldscale/marigoldscale/platform/store"
)

const (
	// memoryPart is the part of the memory limit at which the garbage
	// collector works harder; the rest is for what it does not count.
	heapLimitFraction = 0.6
	// gcPercent lets the heap grow further between collections than the default.
	gcPercent = 200
	// settingsEvery is the pause between looks at the settings file, which may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// lastLines is how long the last log lines may take.
	logFlushTimeout = 200 * time.Millisecond
)

// relayCommand runs a router of pass-through routes.
type relayCommand struct {
	Config string `help:"Settings file, in TOML." type:"path" env:"MARIGOLDSCALE_NODE_FILE" required:""`
	Check  bool   `help:"Check the settings and exit."`
}

// run runs the router until it is told to stop, and gives its exit code.
func (c relayCommand) run() int {
	settings, err := setup.LoadRelay(c.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if c.Check {
		return exitOK
	}
	log, lost, flush, err := logs.NewBounded(settings.Log.Level, os.Stdout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "marigoldscaled: %v\n", err)
		return exitSettings
	}
	defer flush(logFlushTimeout)
	debug.SetMemoryLimit(int64(float64(settings.Limits.Memory) * heapLimitFraction * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	wire := entry.Adapters{Requests: calls.HeaderCodec{}, Store: store.Dialect{}, Codec: store.Codec{}, ReadyPath: calls.ReadyPath}
	e, err := entry.New(settings, wire, log, lost)
	if err != nil {
		log.Error("router does not start", zap.Error(err))
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go c.reload(ctx, e, log)
	if err := e.Run(ctx); err != nil {
		log.Error("router failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// reload reads the settings again on a signal and when the file has changed.
func (c relayCommand) reload(ctx context.Context, e *entry.Router, log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := c.modTime(log)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if at := c.modTime(log); at.Equal(last) {
				continue
			}
		}
		last = c.modTime(log)
		settings, err := setup.LoadRelay(c.Config)
		if err != nil {
			log.Warn("settings kept, the file has a mistake", zap.Error(err))
			continue
		}
		e.Reload(settings)
	}
}

// changed gives when the settings file was last written, the zero time if that
// cannot be told.
func (c relayCommand) modTime(log *zap.Logger) time.Time {
	info, err := os.Stat(c.Config)
	if err != nil {
		log.Warn("settings file not seen", zap.Error(err))
		return time.Time{}
	}
	return info.ModTime()
}
