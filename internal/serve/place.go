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
	// guardTimeout bounds the wait for the home of a body.
	guardTimeout = 500 * time.Millisecond
	// permitTimeout bounds the wait for a steward.
	permitTimeout = time.Second
	// permitPause is when to ask again after a permit was denied.
	permitPause = 100 * time.Millisecond
	// aloneCandidates is the number of endpoints tried for a suspect.
	aloneCandidates = 3
	// viewPause is when to look again for a view that is not too old.
	viewPause = 50 * time.Millisecond
	// barrenPause is when to come back if no endpoint serves a release.
	barrenPause = 2 * time.Second
)

// Denied is the error of Permits.Ask when a steward gives no slot now.
type Denied struct {
	Reason string
	After  time.Duration
	Nobody bool // no steward grants anything now
}

// Error gives the reason.
func (d *Denied) Error() string {
	return "permit denied: " + d.Reason
}

// guard asks the home of the body whether the attempt may run.
func (r *run) guard(ctx context.Context, a flow.CheckBody) {
	r.ask(func() flow.Event { return r.askGuard(ctx, a.Attempt) })
}

func (r *run) askGuard(ctx context.Context, attempt ident.AttemptID) flow.BodyChecked {
	ctx, span := r.server.Tracer.Start(ctx, "guard")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, guardTimeout)
	defer cancel()
	claim := poison.Claim{Fingerprint: r.request.Fingerprint, Router: r.server.Self.ID, Attempt: attempt}
	switch answer := r.server.Guards.Claim(ctx, claim).(type) {
	case poison.Run:
		return flow.BodyChecked{Allowed: true, Isolated: answer.Alone}
	case poison.Wait:
		return flow.BodyChecked{RetryAfter: answer.RetryAfter}
	default:
		return flow.BodyChecked{Refused: true}
	}
}

// place chooses an endpoint on the newest view, and gets a permit if it is cold.
func (r *run) place(ctx context.Context, a flow.SelectEndpoint) []flow.Event {
	r.view = r.server.View()
	r.bound = a.Release
	now := r.server.Now()
	if !now.Before(r.view.ExpiresAt) {
		return []flow.Event{flow.EndpointsBusy{RetryAfter: viewPause}}
	}
	if r.request.Service == "" && !r.view.Allowed(a.Release) {
		return []flow.Event{flow.NoEndpoint{Withdrawn: true}}
	}
	if a.Isolated {
		return r.placeAlone(ctx, a)
	}
	switch c := r.choose(now, a).(type) {
	case route.Send:
		return r.found(ctx, a, flow.EndpointSelected{Endpoint: c.Endpoint, Expected: c.Expected})
	case route.NeedPermit:
		if a.Hedge {
			return []flow.Event{flow.EndpointsBusy{}}
		}
		r.permit(ctx, a, c)
		return nil
	case route.Wait:
		return []flow.Event{flow.EndpointsBusy{RetryAfter: c.RetryAfter}}
	case route.None:
		return []flow.Event{flow.NoEndpoint{RetryAfter: barrenPause, MayReturn: mayReturn(c)}}
	default:
		return []flow.Event{flow.NoEndpoint{RetryAfter: barrenPause}}
	}
}

// mayReturn tells whether an endpoint that cannot serve now may do so soon.
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
	}, r.server.Table, r.server.Prefixes)
}

// found takes a warm endpoint; a hedge needs the home's consent as well.
func (r *run) found(ctx context.Context, a flow.SelectEndpoint, placed flow.EndpointSelected) []flow.Event {
	if !a.Hedge {
		return []flow.Event{placed}
	}
	r.ask(func() flow.Event {
		if guarded := r.askGuard(ctx, a.Attempt); !guarded.Allowed || guarded.Isolated {
			return flow.EndpointsBusy{}
		}
		return placed
	})
	return nil
}

// permit asks the steward of the endpoint's zone for a slot. If there is none,
// a warm endpoint serves at once where one is left.
func (r *run) permit(ctx context.Context, a flow.SelectEndpoint, c route.NeedPermit) {
	exclude := append(slices.Clone(a.Exclude), c.Endpoint.Spec.ID)
	instead := a
	instead.Exclude = exclude
	other, warm := r.choose(r.server.Now(), instead).(route.Send)
	r.ask(func() flow.Event {
		after, err := r.askPermit(ctx, c.Endpoint, a)
		switch {
		case err == nil:
			return flow.EndpointSelected{Endpoint: c.Endpoint, Cold: true}
		case warm:
			return flow.EndpointSelected{Endpoint: other.Endpoint, Expected: other.Expected}
		default:
			return flow.EndpointsBusy{RetryAfter: after}
		}
	})
}

// placeAlone finds an endpoint on which the attempt is the only suspect of
// crashes. Where nobody grants that, an endpoint with nothing else serves.
func (r *run) placeAlone(ctx context.Context, a flow.SelectEndpoint) []flow.Event {
	var candidates []*fleet.Endpoint
	wanted := a
	wanted.Isolated = false
	for range aloneCandidates {
		choice := r.choose(r.server.Now(), wanted)
		endpoint := chosen(choice)
		if endpoint == nil {
			break
		}
		candidates = append(candidates, endpoint)
		wanted.Exclude = append(slices.Clone(wanted.Exclude), endpoint.Spec.ID)
	}
	idle, free := r.choose(r.server.Now(), a).(route.Send)
	if none, barren := r.choose(r.server.Now(), a).(route.None); barren && len(candidates) == 0 {
		return []flow.Event{flow.NoEndpoint{RetryAfter: barrenPause, MayReturn: mayReturn(none)}}
	}
	r.ask(func() flow.Event {
		for _, endpoint := range candidates {
			_, err := r.askPermit(ctx, endpoint, a)
			if err == nil {
				return flow.EndpointSelected{Endpoint: endpoint, Cold: true}
			}
			if nobody(err) && free {
				return flow.EndpointSelected{Endpoint: idle.Endpoint}
			}
		}
		return flow.EndpointsBusy{RetryAfter: permitPause}
	})
	return nil
}

// chosen gives the endpoint that a choice names, or nil.
func chosen(choice route.Choice) *fleet.Endpoint {
	switch c := choice.(type) {
	case route.Send:
		return c.Endpoint
	case route.NeedPermit:
		return c.Endpoint
	default:
		return nil
	}
}

// askPermit asks for a slot, and else tells when to ask again.
func (r *run) askPermit(ctx context.Context, endpoint *fleet.Endpoint, a flow.SelectEndpoint) (time.Duration, error) {
	ctx, span := r.server.Tracer.Start(ctx, "permit", attribute.String("endpoint", string(endpoint.Spec.ID)))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	err := r.server.Permits.Ask(ctx, endpoint, a.Attempt, a.Isolated)
	var denied *Denied
	if errors.As(err, &denied) {
		return max(denied.After, permitPause), err
	}
	return permitPause, err
}

// nobody tells whether no steward grants anything now.
func nobody(err error) bool {
	var denied *Denied
	return !errors.As(err, &denied) || denied.Nobody
}

func (r *run) forgo(a flow.ReleaseSlot) {
	r.server.Permits.Release(a.Endpoint, a.Attempt)
}
