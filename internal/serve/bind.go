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
	// bindTimeout bounds the wait for the journal's word on a session.
	bindTimeout = 250 * time.Millisecond
	// raterPatience is the longest time for which an answer is held.
	raterPatience = 400 * time.Millisecond
)

// plan chooses the models to try.
func (r *run) plan() []flow.Event {
	now := r.server.Now()
	r.blocks = route.HashBlocks([]byte(r.request.Prompt))
	if r.request.Version != "" {
		r.ladder = casc.Cascade{Stages: []casc.Stage{{Model: r.request.Model}}}
		return []flow.Event{flow.ModelsPlanned{Steps: []flow.CascadeStep{{Model: r.request.Model}}}}
	}
	r.ladder = casc.Plan(now, r.view.Config, casc.Request{
		Team:     r.request.Team,
		Class:    r.request.Class,
		Wanted:   r.request.Model,
		Seed:     uint64(r.request.Fingerprint) ^ roll.SessionHash(ident.SessionKey{Team: r.request.Key.Team, Session: ident.SessionID(r.request.Key.Request)}),
		Deadline: r.request.Deadline,
		Rater:    casc.Rater{Available: r.server.raterUp(now), Timeout: raterPatience},
		Usable:   r.usable,
	}, r.view.Estimates)
	rungs := make([]flow.CascadeStep, 0, len(r.ladder.Stages)+1)
	planned := false
	for i, rung := range r.ladder.Stages {
		rungs = append(rungs, flow.CascadeStep{Index: i, Model: rung.Model, RatedBefore: rung.Rated})
		planned = planned || rung.Model == r.request.Model
	}
	if !planned {
		rungs = append(rungs, flow.CascadeStep{Index: len(r.ladder.Stages), Model: r.request.Model})
	}
	rungs = r.withFallbacks(rungs)
	for i := range rungs {
		rungs[i].RatedAfter = !rungs[i].RatedBefore && r.server.Rater != nil && r.sampled(rungs[i].Model)
	}
	return []flow.Event{flow.ModelsPlanned{Steps: rungs}}
}

// withFallbacks adds the cheaper models that may answer when capacity lacks.
func (r *run) withFallbacks(rungs []flow.CascadeStep) []flow.CascadeStep {
	for _, m := range r.request.Team.CheaperModels {
		known := m == r.request.Model
		for _, rung := range rungs {
			known = known || rung.Model == m
		}
		if !known && r.usable(m) {
			rungs = append(rungs, flow.CascadeStep{Index: len(r.ladder.Stages), Model: m, Fallback: true})
		}
	}
	return rungs
}

// usable tells whether an allowed release of the model has an endpoint that
// takes work.
func (r *run) usable(model ident.ModelID) bool {
	for _, e := range r.view.Endpoints {
		release := e.Spec.Release
		if release.Model != model || !r.request.Team.Allows(release) || !r.view.Allowed(release) {
			continue
		}
		if usable(r.view.Snapshot, e) > 0 {
			return true
		}
	}
	return false
}

// bind finds the version of a model that the request runs on.
func (r *run) bind(ctx context.Context, model ident.ModelID) {
	r.ask(func() flow.Event { return r.server.bind(ctx, r.view, r.request, model) })
}

func (s *Server) bind(ctx context.Context, view *ctrl.View, request flow.Request, model ident.ModelID) flow.Event {
	if request.Version != "" {
		release := ident.Release{Model: model, Version: request.Version}
		if !view.Allowed(release) {
			return withdrawn(release)
		}
		return flow.VersionResolved{Meta: flow.Meta{Release: release}}
	}
	key := ident.SessionKey{Team: request.Key.Team, Session: request.Session}
	lone := request.Session == ""
	if lone {
		key.Session = ident.SessionID(request.Key.Request)
	}
	choice, ok := roll.Assign(roll.SessionHash(key), view.Snapshot, request.Team, model, view.Quota(model))
	if !ok {
		return noVersion(model)
	}
	if lone {
		return s.bindLone(view, request, model, choice)
	}
	return s.bindSession(ctx, view, request, key, model, choice)
}

// bindLone runs a request without a session on the version chosen for it.
func (s *Server) bindLone(view *ctrl.View, request flow.Request, model ident.ModelID, choice roll.Assignment) flow.Event {
	release := ident.Release{Model: model, Version: choice.Version}
	if choice.Candidate && !s.expose(view, request, release) {
		release.Version = view.Config.Models[model].Default
	}
	return flow.VersionResolved{Meta: flow.Meta{Release: release}}
}

// expose takes one exposure from the quota and tells the control thread.
func (s *Server) expose(view *ctrl.View, request flow.Request, release ident.Release) bool {
	if quota, ok := view.Quotas[release.Model]; ok && !quota.Take() {
		return false
	}
	s.Tell(ctrl.SessionExposed{Release: release, Team: request.Key.Team})
	return true
}

// bindSession keeps a session on its version, or begins it on the chosen one.
func (s *Server) bindSession(ctx context.Context, view *ctrl.View, request flow.Request, key ident.SessionKey, model ident.ModelID, choice roll.Assignment) flow.Event {
	ctx, span := s.Tracer.Start(ctx, "bind")
	defer span.End()
	now := s.Now()
	var token *sess.Binding
	if request.SessionToken != "" {
		if b, err := s.Sealer.Open(key, sess.Token(request.SessionToken)); err == nil {
			token = &b
		}
	}
	remembered := s.Cache.Get(key, model)
	resolved := sess.Resolve(now, view.Snapshot, sess.Inputs{
		Session: key,
		Model:   model,
		Team:    request.Team,
		Token:   token,
		Cached:  remembered,
		Chosen:  choice.Version,
	})
	if resolved.Renew && (remembered == nil || resolved.Moved) {
		s.settleBinding(ctx, view, request, &resolved, choice)
	}
	s.Cache.Put(resolved.Binding)
	return s.boundEvent(view, request, resolved)
}

// settleBinding agrees on a binding with the fleet's journal. When that is
// away, the choice by hash stands, which all routers make alike.
func (s *Server) settleBinding(ctx context.Context, view *ctrl.View, request flow.Request, resolved *sess.Resolution, choice roll.Assignment) {
	b := &resolved.Binding
	fresh := choice.Candidate && b.Version == choice.Version
	release := ident.Release{Model: b.Model, Version: b.Version}
	if fresh && !s.expose(view, request, release) {
		b.Version = view.Config.Models[b.Model].Default
	}
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	record := shard.Binding{Session: b.Session, Model: b.Model, Version: b.Version, Previous: resolved.From, At: s.Now()}
	kept, err := s.Journal.Bind(ctx, record)
	if err != nil {
		s.Log.Debug("binding waits for the platform", zap.String("session", b.Session.String()), zap.Error(err))
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

// moveBinding moves a session off the withdrawn version that the journal has.
func (s *Server) moveBinding(ctx context.Context, resolved *sess.Resolution, from ident.VersionID) {
	b := &resolved.Binding
	resolved.Moved = true
	resolved.From = from
	record := shard.Binding{Session: b.Session, Model: b.Model, Version: b.Version, Previous: from, At: s.Now()}
	if kept, err := s.Journal.Bind(ctx, record); err == nil {
		b.Version = kept
	}
}

func (s *Server) boundEvent(view *ctrl.View, request flow.Request, resolved sess.Resolution) flow.Event {
	release := ident.Release{Model: resolved.Binding.Model, Version: resolved.Binding.Version}
	if !view.Allowed(release) || !request.Team.Allows(release) {
		return withdrawn(release)
	}
	sealed, err := s.Sealer.Seal(resolved.Binding)
	if err != nil {
		s.Log.Error("sealing session token", zap.Error(err))
	}
	return flow.VersionResolved{Meta: flow.Meta{Release: release, SessionToken: string(sealed), SessionMoved: resolved.Moved}}
}

func withdrawn(release ident.Release) flow.Event {
	return flow.Denied{Refusal: flow.Refusal{
		Code:    flow.CodeWithdrawn,
		Message: "version " + release.String() + " is withdrawn or not allowed",
		Ran:     flow.RanNo,
	}}
}

func noVersion(model ident.ModelID) flow.Event {
	return flow.Denied{Refusal: flow.Refusal{
		Code:       flow.CodeWithdrawn,
		Message:    "model " + string(model) + " has no version that the team may use now",
		Ran:        flow.RanNo,
		RetryAfter: time.Second,
	}}
}
