package main

import (
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

type plainCommand struct {
	listenFlag
	Name    string `default:"plain" help:"Name in records, also the boot id."`
	Service string `required:"" help:"Service that it stands in for."`
}

// Run serves a plain service.
func (c *plainCommand) Run() error {
	return c.serve(c.Name, stand.NewPlainService(c.Name, ident.ServiceID(c.Service)))
}
