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

// ListRouters returns all live routers with the generation that each has
// applied.
type ListRouters func(ctx context.Context) ([]status.Router, error)

// Progress counts the routers that have applied a generation.
type Progress struct {
	Generation ident.Generation `json:"generation"`
	Applied    int              `json:"done"` // number of routers at this generation or a later one
	Lagging    []status.Router  `json:"lagging"`
	QueryError error            `json:"-"` // set if the routers could not be listed
}

// LaggingError reports routers that did not apply a generation in time.
type LaggingError struct {
	Progress
}

// Error lists the lagging routers with the generation that each has applied.
func (e *LaggingError) Error() string {
	if e.QueryError != nil {
		return fmt.Sprintf("generation %d is accepted, but the routers could not be queried: %v", e.Generation, e.QueryError)
	}
	if len(e.Lagging) == 0 {
		return fmt.Sprintf("generation %d is accepted, but no router is live to run it", e.Generation)
	}
	names := make([]string, len(e.Lagging))
	for i, r := range e.Lagging {
		names[i] = fmt.Sprintf("%s (zone %s, generation %d)", r.ID, r.Zone, r.Generation)
	}
	return fmt.Sprintf("generation %d is accepted, but not yet in force on %d of %d routers: %s",
		e.Generation, len(e.Lagging), e.Applied+len(e.Lagging), strings.Join(names, ", "))
}

// Unwrap returns the error of the last attempt to list the routers.
func (e *LaggingError) Unwrap() error {
	return e.QueryError
}

// Await lists the routers at the given interval until every live router has
// applied the generation or a later one, and calls report after each attempt. If
// ctx ends first, it returns a *LaggingError.
func (p *Publisher) Await(ctx context.Context, generation ident.Generation, list ListRouters, interval time.Duration, report func(Progress)) error {
	progress := Progress{Generation: generation}
	for {
		routers, err := list(ctx)
		if ctx.Err() != nil && err != nil {
			return &LaggingError{Progress: progress} // ctx cut the call off, so the previous progress is reported
		}
		progress = NewProgress(generation, routers)
		progress.QueryError = err
		report(progress)
		if err == nil && progress.Applied > 0 && len(progress.Lagging) == 0 {
			return nil
		}
		if p.sleep(ctx, interval) != nil {
			return &LaggingError{Progress: progress}
		}
	}
}

// NewProgress computes how many routers have applied the generation. A router
// that is stopping takes no new work and does not count as lagging.
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
