package cmd

import (
	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Zone takes availability zones out of service and returns them.
type Zone struct {
	Out ZoneOut `cmd:"" help:"Take a zone out of service: send no new requests to it."`
	In  ZoneIn  `cmd:"" help:"Return a zone to service."`
}

// Help returns the detailed help with examples.
func (Zone) Help() string {
	return `A zone that is out of service gets no new requests after a few seconds; requests
that run there are completed. When it returns, its endpoints count as cold until
they report otherwise.

Examples:
  marigoldscale zone out lima-sur
  marigoldscale zone in lima-sur`
}

// ZoneOut takes a zone out of service.
type ZoneOut struct {
	ZoneArg
}

// Run takes the zone out of service.
func (c *ZoneOut) Run(r *Run) error {
	return c.setOut(r, true)
}

// ZoneIn returns a zone to service.
type ZoneIn struct {
	ZoneArg
}

// Run returns the zone to service.
func (c *ZoneIn) Run(r *Run) error {
	return c.setOut(r, false)
}

// ZoneArg is the zone argument that the out and in commands share.
type ZoneArg struct {
	Zone string `arg:"" help:"Availability zone."`
	WaitFlag
}

func (a ZoneArg) setOut(r *Run, out bool) error {
	setting := config.SetZoneOut(ident.ZoneID(a.Zone), out)
	return r.publishAndPrint(publsh.Edit{Settings: []config.Setting{setting}}, 0, a.WaitFlag)
}
