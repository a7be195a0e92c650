package main

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

type engineCommand struct {
	listenFlag
	Name     string             `default:"engine" help:"Name in records and boot ids."`
	Release  []string           `required:"" help:"Release to load at startup; repeat for more." placeholder:"MODEL@VERSION"`
	Quality  map[string]float64 `help:"Answer quality of a release, 0 to 1." placeholder:"MODEL@VERSION=Q"`
	Slots    int                `default:"32" help:"Concurrent requests when warm."`
	Queue    int                `default:"128" help:"Queued requests beyond the slots."`
	Cold     int                `default:"4" help:"Concurrent requests during cold start."`
	WarmRuns int                `default:"0" help:"Complete answers until it is warm; if --warm-time is 0, too, it is always warm."`
	WarmTime time.Duration      `default:"0s" help:"Time until it is warm."`
	Outage   time.Duration      `default:"2s" help:"Downtime after a crash."`
	Base     time.Duration      `default:"8ms" help:"Duration of a step with an empty batch."`
	Stream   time.Duration      `default:"1ms" help:"Duration that each request adds to a step."`
	Prefill  float64            `default:"20000" help:"Prompt tokens processed per second."`
	Blocks   int                `default:"4096" help:"Size of the prefix cache, in blocks of 256 bytes."`
	CacheLag time.Duration      `default:"200ms" help:"Delay of cache events."`
	CacheGap int                `default:"50" help:"Drop every n-th cache event, 0 for none."`
	LoadLag  time.Duration      `default:"200ms" help:"Delay of load reports."`
	LoadTime time.Duration      `default:"500ms" help:"Time to load a release."`
	Fenced   bool               `help:"Refuse orders with an outdated fencing token."`
}

// Run serves a simulated engine until SIGTERM or SIGINT.
func (c *engineCommand) Run() error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	engine := stand.NewEngine(spec)
	defer engine.Close()
	return c.serve(c.Name, engine)
}

func (c *engineCommand) spec() (stand.EngineSpec, error) {
	spec := stand.DefaultEngineSpec(c.Name)
	for _, text := range c.Release {
		release, err := ident.ParseRelease(text)
		if err != nil {
			return spec, fmt.Errorf("reading --release: %w", err)
		}
		spec.Releases = append(spec.Releases, release)
	}
	for text, quality := range c.Quality {
		release, err := ident.ParseRelease(text)
		if err != nil {
			return spec, fmt.Errorf("reading --quality: %w", err)
		}
		spec.Quality[release] = ident.Quality(quality)
	}
	spec.Timing.Iteration = c.Base
	spec.Timing.PerRequest = c.Stream
	spec.Timing.PrefillRate = c.Prefill
	spec.Slots = c.Slots
	spec.MaxQueued = c.Queue
	spec.ColdSlots = c.Cold
	spec.WarmRuns = c.WarmRuns
	spec.WarmTime = c.WarmTime
	spec.Outage = c.Outage
	spec.CacheBlocks = c.Blocks
	spec.CacheEventLag = c.CacheLag
	spec.CacheLossInterval = c.CacheGap
	spec.LoadReportLag = c.LoadLag
	spec.ReleaseLoadTime = c.LoadTime
	spec.ChecksFence = c.Fenced
	return spec, nil
}
