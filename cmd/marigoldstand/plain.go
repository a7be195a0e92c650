package main

import (
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

type plainCommand struct {
	listenFlag
	Name    string `default:"plain" help:"Name in records, and boot id."`
	Service string `required:"" help:"Name of the simulated service."`
}

// Run serves a simulated plain service until SIGTERM or SIGINT.
func (c *plainCommand) Run() error {
	return c.serve(c.Name, stand.NewPlainService(c.Name, ident.ServiceID(c.Service)))
}
