package cmd

import (
	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Zone takes availability zones out and puts them back.
type Zone struct {
	Out ZoneOut `cmd:"" help:"Send no new work to a zone."`
	In  ZoneIn  `cmd:"" help:"Send work to a zone again."`
}

// Help shows examples.
func (Zone) Help() string {
	return `A zone that is out gets no new work within seconds; what runs there ends whole.
After its return its endpoints are taken for cold until they report otherwise.

Examples:
  marigoldscale zone out lima-sur
  marigoldscale zone in lima-sur`
}

// ZoneOut takes a zone out.
type ZoneOut struct {
	ZoneArg
}

// Run takes the zone out.
func (c *ZoneOut) Run(r *Run) error {
	return c.set(r, true)
}

// ZoneIn puts a zone back.
type ZoneIn struct {
	ZoneArg
}

// Run puts the zone back.
func (c *ZoneIn) Run(r *Run) error {
	return c.set(r, false)
}

// ZoneArg names the zone that is meant.
type ZoneArg struct {
	Zone string `arg:"" help:"Availability zone."`
	WaitFlag
}

func (a ZoneArg) set(r *Run, out bool) error {
	setting := config.SetZoneOut(ident.ZoneID(a.Zone), out)
	return r.forceAndPrint(publsh.Edit{Settings: []config.Setting{setting}}, 0, a.WaitFlag)
}
