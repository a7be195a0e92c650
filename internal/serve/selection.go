package serve

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// bodyCheckTimeout limits the wait for the owner of a body.
	bodyCheckTimeout = 500 * time.Millisecond
	// permitTimeout limits the wait for a zone's steward.
	permitTimeout = time.Second
	// permitRetryAfter is the shortest time until a denied permit is requested again.
	permitRetryAfter = 100 * time.Millisecond
	// isolatedCandidates is the number of endpoints tried for a body that is suspected
	// of crashing endpoints.
	isolatedCandidates = 3
	// staleViewRetryAfter is the time until the selection is retried after the view
	// has expired.
	staleViewRetryAfter = 50 * time.Millisecond
	// noEndpointRetryAfter is the retry delay if no endpoint serves a release.
	noEndpointRetryAfter = 2 * time.Second
)

// PermitDeniedError is returned by Permits.Acquire if no slot is granted now.
type PermitDeniedError struct {
	Reason     string
	RetryAfter time.Duration
	NoSteward  bool // no steward can grant permits now
}

// Error implements error.
func (d *PermitDeniedError) Error() string {
	return "permit denied: " + d.Reason
}

// checkBody asks the owner of the body whether the attempt may run.
func (r *run) checkBody(ctx context.Context, a flow.CheckBody) {
	r.runAsync(func() flow.Event { return r.claimBody(ctx, a.Attempt) })
}

func (r *run) claimBody(ctx context.Context, attempt ident.AttemptID) flow.BodyChecked {
	if _, refused := r.server.View().RefusedParts.Find(r.request.Subject()); refused {
		return flow.BodyChecked{Refused: true}
	}
	ctx, span := r.server.Tracer.Start(ctx, "guard")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, bodyCheckTimeout)
	defer cancel()
	claim := poison.Claim{Fingerprint: r.request.Fingerprint, Router: r.server.Self.ID, Attempt: attempt}
	switch answer := r.server.BodyOwners.Claim(ctx, claim).(type) {
	case poison.Run:
		return flow.BodyChecked{Allowed: true, Isolated: answer.Isolated}
	case poison.Wait:
		return flow.BodyChecked{RetryAfter: answer.RetryAfter}
	default:
		return flow.BodyChecked{Refused: true}
	}
}

// selectEndpoint selects an endpoint from the latest view, and acquires a permit
// if the endpoint is cold.
func (r *run) selectEndpoint(ctx context.Context, a flow.SelectEndpoint) []flow.Event {
	r.view = r.server.View()
	r.currentRelease = a.Release
	now := r.server.Now()
	if !now.Before(r.view.ExpiresAt) {
		return []flow.Event{flow.EndpointsBusy{RetryAfter: staleViewRetryAfter}}
	}
	if r.request.Service == "" && !r.view.Allowed(a.Release) {
		return []flow.Event{flow.NoEndpoint{Withdrawn: true}}
	}
	if a.Isolated {
		return r.selectIsolated(ctx, a)
	}
	switch c := r.choose(now, a).(type) {
	case route.Send:
		return r.confirm(ctx, a, flow.EndpointSelected{Endpoint: c.Endpoint, Expected: c.Expected})
	case route.NeedPermit:
		if a.Hedge {
			return []flow.Event{flow.EndpointsBusy{}}
		}
		r.acquirePermit(ctx, a, c)
		return nil
	case route.Wait:
		return []flow.Event{flow.EndpointsBusy{RetryAfter: c.RetryAfter}}
	case route.None:
		return []flow.Event{flow.NoEndpoint{RetryAfter: noEndpointRetryAfter, MayReturn: mayReturn(c)}}
	default:
		return []flow.Event{flow.NoEndpoint{RetryAfter: noEndpointRetryAfter}}
	}
}

// mayReturn reports whether an endpoint that is not available now may return soon.
func mayReturn(none route.None) bool {
	for _, v := range none.Reasons {
		if v.Reason == route.ReasonDown || v.Reason == route.ReasonExcluded {
			return true
		}
	}
	return false
}

func (r *run) choose(now time.Time, a flow.SelectEndpoint) route.Choice {
	return route.Choose(now, r.view.Snapshot, route.Request{
		Release:   a.Release,
		Service:   r.request.Service,
		Seed:      xxhash.Sum64String(string(a.Attempt)),
		Prompt:    r.request.PromptTokens,
		Blocks:    r.blocks,
		Exclude:   a.Exclude,
		Exclusive: a.Isolated,
		Priority:  r.request.Team.Priority,
	}, r.server.Loads, r.server.Prefixes)
}

// confirm confirms the selection of a warm endpoint. A hedged attempt is confirmed
// only if the owner of the body allows it too.
func (r *run) confirm(ctx context.Context, a flow.SelectEndpoint, selected flow.EndpointSelected) []flow.Event {
	if !a.Hedge {
		return []flow.Event{selected}
	}
	r.runAsync(func() flow.Event {
		if checked := r.claimBody(ctx, a.Attempt); !checked.Allowed || checked.Isolated {
			return flow.EndpointsBusy{}
		}
		return selected
	})
	return nil
}

// acquirePermit requests a slot from the steward of the endpoint's zone. If it is
// denied, a warm endpoint is used where one is available.
func (r *run) acquirePermit(ctx context.Context, a flow.SelectEndpoint, c route.NeedPermit) {
	exclude := append(slices.Clone(a.Exclude), c.Endpoint.Spec.ID)
	alternative := a
	alternative.Exclude = exclude
	other, warm := r.choose(r.server.Now(), alternative).(route.Send)
	r.runAsync(func() flow.Event {
		retryAfter, err := r.requestPermit(ctx, c.Endpoint, a)
		switch {
		case err == nil:
			return flow.EndpointSelected{Endpoint: c.Endpoint, Cold: true}
		case warm:
			return flow.EndpointSelected{Endpoint: other.Endpoint, Expected: other.Expected}
		default:
			return flow.EndpointsBusy{RetryAfter: retryAfter}
		}
	})
}

// selectIsolated selects an endpoint on which no other attempt suspected of crashes
// runs. If no steward can grant that, it selects an idle endpoint.
func (r *run) selectIsolated(ctx context.Context, a flow.SelectEndpoint) []flow.Event {
	var candidates []*fleet.Endpoint
	selection := a
	selection.Isolated = false
	for range isolatedCandidates {
		choice := r.choose(r.server.Now(), selection)
		endpoint := chosenEndpoint(choice)
		if endpoint == nil {
			break
		}
		candidates = append(candidates, endpoint)
		selection.Exclude = append(slices.Clone(selection.Exclude), endpoint.Spec.ID)
	}
	idle, hasIdle := r.choose(r.server.Now(), a).(route.Send)
	if none, noEndpoint := r.choose(r.server.Now(), a).(route.None); noEndpoint && len(candidates) == 0 {
		return []flow.Event{flow.NoEndpoint{RetryAfter: noEndpointRetryAfter, MayReturn: mayReturn(none)}}
	}
	r.runAsync(func() flow.Event {
		for _, endpoint := range candidates {
			_, err := r.requestPermit(ctx, endpoint, a)
			if err == nil {
				return flow.EndpointSelected{Endpoint: endpoint, Cold: true}
			}
			if noSteward(err) && hasIdle {
				return flow.EndpointSelected{Endpoint: idle.Endpoint}
			}
		}
		return flow.EndpointsBusy{RetryAfter: permitRetryAfter}
	})
	return nil
}

// chosenEndpoint returns the endpoint of a choice, or nil if it has none.
func chosenEndpoint(choice route.Choice) *fleet.Endpoint {
	switch c := choice.(type) {
	case route.Send:
		return c.Endpoint
	case route.NeedPermit:
		return c.Endpoint
	default:
		return nil
	}
}

// requestPermit requests a permit. If it fails, it returns the time after which to
// retry and the error.
func (r *run) requestPermit(ctx context.Context, endpoint *fleet.Endpoint, a flow.SelectEndpoint) (time.Duration, error) {
	ctx, span := r.server.Tracer.Start(ctx, "permit", attribute.String("endpoint", string(endpoint.Spec.ID)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	err := r.server.Permits.Acquire(ctx, endpoint, a.Attempt, a.Isolated)
	var denied *PermitDeniedError
	if errors.As(err, &denied) {
		return max(denied.RetryAfter, permitRetryAfter), err
	}
	return permitRetryAfter, err
}

// noSteward reports whether no steward can grant permits now.
func noSteward(err error) bool {
	var denied *PermitDeniedError
	return !errors.As(err, &denied) || denied.NoSteward
}

func (r *run) releaseSlot(a flow.ReleaseSlot) {
	r.server.Permits.Release(a.Endpoint, a.Attempt)
}
