package publsh

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Ask gives all live routers with the generation that each has in force.
type Ask func(ctx context.Context) ([]status.Router, error)

// Progress is how far a generation has got.
type Progress struct {
	Generation ident.Generation `json:"generation"`
	Done       int              `json:"done"` // routers that have it
	Lagging    []status.Router  `json:"lagging"`
	Asked      error            `json:"-"` // why the routers could not be asked
}

// Behind means that some routers had not put a generation in force in time.
type Behind struct {
	Progress
}

// Error names the routers that lag, each with the generation that it has.
func (b *Behind) Error() string {
	if b.Asked != nil {
		return fmt.Sprintf("generation %d is accepted, but no router could be asked for it: %v", b.Generation, b.Asked)
	}
	if len(b.Lagging) == 0 {
		return fmt.Sprintf("generation %d is accepted, but no router is live to run it", b.Generation)
	}
	names := make([]string, len(b.Lagging))
	for i, r := range b.Lagging {
		names[i] = fmt.Sprintf("%s (zone %s, generation %d)", r.ID, r.Zone, r.Generation)
	}
	return fmt.Sprintf("generation %d is accepted, but not yet in force on %d of %d routers: %s",
		b.Generation, len(b.Lagging), b.Done+len(b.Lagging), strings.Join(names, ", "))
}

// Unwrap gives the reason why the routers could not be asked.
func (b *Behind) Unwrap() error {
	return b.Asked
}

// Await asks until every live router has the generation or a later one in
// force, and reports progress after each time. At the end of ctx it fails with
// *Behind.
func (p *Publisher) Await(ctx context.Context, generation ident.Generation, ask Ask, every time.Duration, report func(Progress)) error {
	progress := Progress{Generation: generation}
	for {
		routers, err := ask(ctx)
		if ctx.Err() != nil && err != nil {
			return &Behind{Progress: progress} // cut short, so what was known before counts
		}
		progress = Measure(generation, routers)
		progress.Asked = err
		report(progress)
		if err == nil && progress.Done > 0 && len(progress.Lagging) == 0 {
			return nil
		}
		if p.sleep(ctx, every) != nil {
			return &Behind{Progress: progress}
		}
	}
}

// Measure tells how far a generation has got. Routers that are stopping take no
// new work and are not waited for.
func Measure(generation ident.Generation, routers []status.Router) Progress {
	p := Progress{Generation: generation}
	for _, r := range routers {
		switch {
		case r.Generation >= generation:
			p.Done++
		case !r.Stopping:
			p.Lagging = append(p.Lagging, r)
		}
	}
	sort.Slice(p.Lagging, func(i, j int) bool { return p.Lagging[i].ID < p.Lagging[j].ID })
	return p
}
