package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/sess"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// bindTimeout limits the wait for the journal to record a session binding.
	bindTimeout = 250 * time.Millisecond
	// ratingTimeout is the longest time for which an answer is withheld to be rated.
	ratingTimeout = 400 * time.Millisecond
)

// plan returns the models to try, in order.
func (r *run) plan() []flow.Event {
	now := r.server.Now()
	r.blocks = route.HashBlocks([]byte(r.request.Prompt))
	if r.request.Version != "" {
		r.cascade = casc.Cascade{Stages: []casc.Stage{{Model: r.request.Model}}}
		return []flow.Event{flow.ModelsPlanned{Steps: []flow.CascadeStep{{Model: r.request.Model}}}}
	}
	r.cascade = casc.Plan(now, r.view.Config, casc.Request{
		Team:     r.request.Team,
		Class:    r.request.Class,
		Wanted:   r.request.Model,
		Seed:     uint64(r.request.Fingerprint) ^ roll.SessionHash(ident.SessionKey{Team: r.request.Key.Team, Session: ident.SessionID(r.request.Key.Request)}),
		Deadline: r.request.Deadline,
		Rater:    casc.Rater{Available: r.server.raterAvailable(now), Timeout: ratingTimeout},
		Usable:   r.hasCapacity,
	}, r.view.Estimates)
	steps := make([]flow.CascadeStep, 0, len(r.cascade.Stages)+1)
	planned := false
	for i, stage := range r.cascade.Stages {
		steps = append(steps, flow.CascadeStep{Index: i, Model: stage.Model, RatedBefore: stage.Rated})
		planned = planned || stage.Model == r.request.Model
	}
	if !planned {
		steps = append(steps, flow.CascadeStep{Index: len(r.cascade.Stages), Model: r.request.Model})
	}
	steps = r.withFallbacks(steps)
	for i := range steps {
		steps[i].RatedAfter = !steps[i].RatedBefore && r.server.Rater != nil && r.needsRating(steps[i].Model)
	}
	return []flow.Event{flow.ModelsPlanned{Steps: steps}}
}

// withFallbacks appends the cheaper models that the team allows if the others have
// no capacity.
func (r *run) withFallbacks(steps []flow.CascadeStep) []flow.CascadeStep {
	for _, m := range r.request.Team.CheaperModels {
		known := m == r.request.Model
		for _, step := range steps {
			known = known || step.Model == m
		}
		if !known && r.hasCapacity(m) {
			steps = append(steps, flow.CascadeStep{Index: len(r.cascade.Stages), Model: m, Fallback: true})
		}
	}
	return steps
}

// hasCapacity reports whether an allowed release of the model has an endpoint that
// accepts new work.
func (r *run) hasCapacity(model ident.ModelID) bool {
	for _, e := range r.view.Endpoints {
		release := e.Spec.Release
		if release.Model != model || !r.request.Team.Allows(release) || !r.view.Allowed(release) {
			continue
		}
		if usableSlots(r.view.Snapshot, e) > 0 {
			return true
		}
	}
	return false
}

// resolveVersion resolves the version of a model that serves the request.
func (r *run) resolveVersion(ctx context.Context, model ident.ModelID) {
	r.runAsync(func() flow.Event { return r.server.resolveVersion(ctx, r.view, r.request, model) })
}

func (s *Server) resolveVersion(ctx context.Context, view *ctrl.View, request flow.Request, model ident.ModelID) flow.Event {
	if request.Version != "" {
		release := ident.Release{Model: model, Version: request.Version}
		if !view.Allowed(release) {
			return withdrawnEvent(release)
		}
		return flow.VersionResolved{Meta: flow.Meta{Release: release}}
	}
	key := ident.SessionKey{Team: request.Key.Team, Session: request.Session}
	sessionless := request.Session == ""
	if sessionless {
		key.Session = ident.SessionID(request.Key.Request)
	}
	choice, ok := roll.Assign(roll.SessionHash(key), view.Snapshot, request.Team, model, view.Quota(model))
	if !ok {
		return noVersionEvent(model)
	}
	if sessionless {
		return s.resolveWithoutSession(view, request, model, choice)
	}
	return s.resolveSession(ctx, view, request, key, model, choice)
}

// resolveWithoutSession resolves the version for a request without a session. It
// falls back to the default version if the exposure quota of a candidate is used up.
func (s *Server) resolveWithoutSession(view *ctrl.View, request flow.Request, model ident.ModelID, choice roll.Assignment) flow.Event {
	release := ident.Release{Model: model, Version: choice.Version}
	if choice.Candidate && !s.recordExposure(view, request, release) {
		release.Version = view.Config.Models[model].Default
	}
	return flow.VersionResolved{Meta: flow.Meta{Release: release}}
}

// recordExposure takes one exposure from the quota and reports it to the control
// thread. It returns false if the quota is used up.
func (s *Server) recordExposure(view *ctrl.View, request flow.Request, release ident.Release) bool {
	if quota, ok := view.Quotas[release.Model]; ok && !quota.Take() {
		return false
	}
	s.SendEvent(ctrl.SessionExposed{Release: release, Team: request.Key.Team})
	return true
}

// resolveSession returns the version to which a session is bound, or binds it to
// the chosen version.
func (s *Server) resolveSession(ctx context.Context, view *ctrl.View, request flow.Request, key ident.SessionKey, model ident.ModelID, choice roll.Assignment) flow.Event {
	ctx, span := s.Tracer.Start(ctx, "bind")
	defer span.End()
	now := s.Now()
	var token *sess.Binding
	if request.SessionToken != "" {
		if b, err := s.Sealer.Open(key, sess.Token(request.SessionToken)); err == nil {
			token = &b
		}
	}
	cached := s.SessionCache.Get(key, model)
	resolved := sess.Resolve(now, view.Snapshot, sess.Inputs{
		Session: key,
		Model:   model,
		Team:    request.Team,
		Token:   token,
		Cached:  cached,
		Chosen:  choice.Version,
	})
	if resolved.Renew && (cached == nil || resolved.Moved) {
		s.recordBinding(ctx, view, request, &resolved, choice)
	}
	s.SessionCache.Put(resolved.Binding)
	return s.resolvedEvent(view, request, resolved)
}

// recordBinding records a binding in the journal, or takes over the version that
// the journal already has. If the journal is not available, the version chosen by
// hash is used, which is the same on all routers.
func (s *Server) recordBinding(ctx context.Context, view *ctrl.View, request flow.Request, resolved *sess.Resolution, choice roll.Assignment) {
	b := &resolved.Binding
	newCandidate := choice.Candidate && b.Version == choice.Version
	release := ident.Release{Model: b.Model, Version: b.Version}
	if newCandidate && !s.recordExposure(view, request, release) {
		b.Version = view.Config.Models[b.Model].Default
	}
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	record := shard.Binding{Session: b.Session, Model: b.Model, Version: b.Version, Previous: resolved.From, At: s.Now()}
	kept, err := s.Journal.Bind(ctx, record)
	if err != nil {
		s.Log.Debug("session binding not recorded in the journal", zap.String("session", b.Session.String()), zap.Error(err))
		return
	}
	if kept == b.Version {
		return
	}
	if view.Allowed(ident.Release{Model: b.Model, Version: kept}) {
		b.Version = kept
		resolved.Moved = false
		return
	}
	s.moveBinding(ctx, resolved, kept)
}

// moveBinding rebinds a session whose version in the journal is withdrawn.
func (s *Server) moveBinding(ctx context.Context, resolved *sess.Resolution, from ident.VersionID) {
	b := &resolved.Binding
	resolved.Moved = true
	resolved.From = from
	record := shard.Binding{Session: b.Session, Model: b.Model, Version: b.Version, Previous: from, At: s.Now()}
	if kept, err := s.Journal.Bind(ctx, record); err == nil {
		b.Version = kept
	}
}

func (s *Server) resolvedEvent(view *ctrl.View, request flow.Request, resolved sess.Resolution) flow.Event {
	release := ident.Release{Model: resolved.Binding.Model, Version: resolved.Binding.Version}
	if !view.Allowed(release) || !request.Team.Allows(release) {
		return withdrawnEvent(release)
	}
	sealed, err := s.Sealer.Seal(resolved.Binding)
	if err != nil {
		s.Log.Error("sealing session token", zap.Error(err))
	}
	return flow.VersionResolved{Meta: flow.Meta{Release: release, SessionToken: string(sealed), SessionMoved: resolved.Moved}}
}

func withdrawnEvent(release ident.Release) flow.Event {
	return flow.Denied{Refusal: flow.Refusal{
		Code:    flow.CodeWithdrawn,
		Message: "version " + release.String() + " is withdrawn or not allowed",
		Ran:     flow.RanNo,
	}}
}

func noVersionEvent(model ident.ModelID) flow.Event {
	return flow.Denied{Refusal: flow.Refusal{
		Code:       flow.CodeWithdrawn,
		Message:    "model " + string(model) + " has no version that the team may use now",
		Ran:        flow.RanNo,
		RetryAfter: time.Second,
	}}
}
