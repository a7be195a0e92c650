package main

import (
	"time"

	"github.com/marigoldscale/marigoldscale/internal/stand"
)

type platformCommand struct {
	listenFlag
	Writes float64 `default:"400" help:"Maximum writes per second, 0 for no limit."`
	Reads  float64 `default:"2000" help:"Maximum reads per second, 0 for no limit."`
}

// Run serves a simulated platform, initially without objects, until SIGTERM or SIGINT.
func (c *platformCommand) Run() error {
	store := stand.NewStore(time.Now)
	store.SetLimits(stand.Limits{Writes: c.Writes, Reads: c.Reads})
	return c.serve("platform", stand.NewPlatform(store))
}
