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
type ListRouters func(ctx context.Context) ([]status.Router, error)

// Progress is how far a generation has got.
type Progress struct {
	Generation ident.Generation `json:"generation"`
	Applied       int              `json:"done"` // routers that have it
	Lagging    []status.Router  `json:"lagging"`
	QueryError      error            `json:"-"` // why the routers could not be asked
}

// Behind means that some routers had not put a generation in force in time.
type LaggingError struct {
	Progress
}

// Error names the routers that lag, each with the generation that it has.
func (b *LaggingError) Error() string {
	if b.QueryError != nil {
		return fmt.Sprintf("generation %d is accepted, but no router could be asked for it: %v", b.Generation, b.QueryError)
	}
	if len(b.Lagging) == 0 {
		return fmt.Sprintf("generation %d is accepted, but no router is live to run it", b.Generation)
	}
	names := make([]string, len(b.Lagging))
	for i, r := range b.Lagging {
		names[i] = fmt.Sprintf("%s (zone %s, generation %d)", r.ID, r.Zone, r.Generation)
	}
	return fmt.Sprintf("generation %d is accepted, but not yet in force on %d of %d routers: %s",
		b.Generation, len(b.Lagging), b.Applied+len(b.Lagging), strings.Join(names, ", "))
}

// Unwrap gives the reason why the routers could not be asked.
func (b *LaggingError) Unwrap() error {
	return b.QueryError
}

// Await asks until every live router has the generation or a later one in
// force, and reports progress after each time. At the end of ctx it fails with
// *Behind.
func (p *Publisher) Await(ctx context.Context, generation ident.Generation, ask ListRouters, every time.Duration, report func(Progress)) error {
	progress := Progress{Generation: generation}
	for {
		routers, err := ask(ctx)
		if ctx.Err() != nil && err != nil {
			return &LaggingError{Progress: progress} // cut short, so what was known before counts
		}
		progress = NewProgress(generation, routers)
		progress.QueryError = err
		report(progress)
		if err == nil && progress.Applied > 0 && len(progress.Lagging) == 0 {
			return nil
		}
		if p.sleep(ctx, every) != nil {
			return &LaggingError{Progress: progress}
		}
	}
}

// Measure tells how far a generation has got. Routers that are stopping take no
// new work and are not waited for.
func NewProgress(generation ident.Generation, routers []status.Router) Progress {
	p := Progress{Generation: generation}
	for _, r := range routers {
		switch {
		case r.Generation >= generation:
			p.Applied++
		case !r.Stopping:
			p.Lagging = append(p.Lagging, r)
		}
	}
	sort.Slice(p.Lagging, func(i, j int) bool { return p.Lagging[i].ID < p.Lagging[j].ID })
	return p
}
