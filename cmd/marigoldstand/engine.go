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
	Release  []string           `required:"" help:"Release to load at the start; repeat for more." placeholder:"MODEL@VERSION"`
	Quality  map[string]float64 `help:"Answer quality of a release, 0 to 1." placeholder:"MODEL@VERSION=Q"`
	Slots    int                `default:"32" help:"Requests at once when warm."`
	Queue    int                `default:"128" help:"Requests waiting beyond the slots."`
	Cold     int                `default:"4" help:"Requests at once in cold start."`
	WarmRuns int                `default:"0" help:"Whole answers that make it warm; with --warm-time 0, too, it is always warm."`
	WarmTime time.Duration      `default:"0s" help:"Time that makes it warm."`
	Outage   time.Duration      `default:"2s" help:"Time that it is away after a crash."`
	Base     time.Duration      `default:"8ms" help:"Time of one step of an empty batch."`
	Stream   time.Duration      `default:"1ms" help:"Time that each request adds to a step."`
	Prefill  float64            `default:"20000" help:"Prompt tokens a second."`
	Blocks   int                `default:"4096" help:"Prefix cache, in blocks of 256 bytes."`
	CacheLag time.Duration      `default:"200ms" help:"Lag of cache events."`
	CacheGap int                `default:"50" help:"Lose each n-th cache event, 0 for none."`
	LoadLag  time.Duration      `default:"200ms" help:"Lag of load reports."`
	LoadTime time.Duration      `default:"500ms" help:"Time that loading a release takes."`
	Fenced   bool               `help:"Refuse orders with an old fencing number."`
}

// Run serves an engine.
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
