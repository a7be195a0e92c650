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
	// heapLimitFraction is the fraction of limits.memory that the Go runtime's
	// memory limit takes. The rest is for memory that the runtime does not count.
	heapLimitFraction = 0.6
	// gcPercent is above the default of 100, so that the heap grows further
	// between collections.
	gcPercent = 200
	// settingsPollInterval is the interval between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout is the maximum time for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// relayCommand runs a router of pass-through routes.
type relayCommand struct {
	Config string `help:"Settings file, in TOML." type:"path" env:"MARIGOLDSCALE_NODE_FILE" required:""`
	Check  bool   `help:"Check the settings and exit."`
}

// run runs the router until it receives SIGTERM or SIGINT, and returns the exit
// code.
func (c relayCommand) run() int {
	settings, err := setup.LoadRelay(c.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if c.Check {
		return exitOK
	}
	log, dropped, flush, err := logs.NewBounded(settings.Log.Level, os.Stdout)
	if err != nil {
		fmt.Fprintf(os.Stderr, "marigoldscaled: %v\n", err)
		return exitSettings
	}
	defer flush(logFlushTimeout)
	limitHeap(settings.Limits.Memory)
	adapters := entry.Adapters{Requests: calls.HeaderCodec{}, Store: store.Dialect{}, Codec: store.Codec{}, ReadyPath: calls.ReadyPath}
	e, err := entry.New(settings, adapters, log, dropped)
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

// limitHeap sets the Go runtime's limits for a machine with a memory in MB.
func limitHeap(memory float64) {
	debug.SetMemoryLimit(int64(memory * heapLimitFraction * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// reload applies the settings file again on SIGHUP and when the file changes. If
// the file is invalid, the settings stay as they are.
func (c relayCommand) reload(ctx context.Context, e *entry.Router, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := c.modTime(log)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
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

// modTime returns the modification time of the settings file, or the zero time if
// it cannot be read.
func (c relayCommand) modTime(log *zap.Logger) time.Time {
	info, err := os.Stat(c.Config)
	if err != nil {
		log.Warn("settings file not seen", zap.Error(err))
		return time.Time{}
	}
	return info.ModTime()
}
