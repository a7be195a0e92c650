package main

import "github.com/marigoldscale/marigoldscale/internal/stand"

type raterCommand struct {
	listenFlag
}

// Run serves a simulated rater until SIGTERM or SIGINT.
func (c *raterCommand) Run() error {
	return c.serve("rater", stand.NewRater())
}
