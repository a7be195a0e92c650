package steer

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/pass"
	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// trials collects the evidence on versions that are rolled out.
type trials struct {
	self     roll.Source
	evidence *roll.Evidence
	writing  map[ident.ServiceID]time.Time // no other write before
	logged   map[ident.ServiceID]time.Time // when its evidence was last logged
}

// limits say what makes a version bad compared with the one it replaces.
var limits = fleet.RolloutLimits{Errors: 0.04, Quality: 1, Latency: 2}

func newTrials(s Settings, now time.Time) *trials {
	return &trials{
		self:     roll.Source{Router: s.Router, Incarnation: uint64(now.UnixNano())},
		evidence: roll.New(xxhash.Sum64String(string(s.Router))),
		writing:  map[ident.ServiceID]time.Time{},
		logged:   map[ident.ServiceID]time.Time{},
	}
}

// Version picks the version of a service for a request, "" for any. A session
// that is in use keeps its version through the trial, and moves with the load
// once; one that begins is drawn like a request without a session.
func (t *Steer) Version(now time.Time, v *world.View, service ident.ServiceID, key uint64, session ident.SessionKey) ident.VersionID {
	if session.Session != "" {
		t.pins.put(now, session, service)
	}
	r, ok := v.Rollouts[service]
	if !ok || !r.Open() {
		return ""
	}
	stable := v.Stable(service)
	chosen := stable
	if t.drawn(now, r, key, session) {
		chosen = r.Target
	}
	other := stable
	if chosen == stable {
		other = r.Target
	}
	if serves(now, v, service, chosen) {
		return chosen
	}
	if chosen == r.Target || r.Stage == world.StageMoving {
		return other
	}
	return chosen
}

// drawn tells whether a request goes to a roll-out's target.
func (t *Steer) drawn(now time.Time, r world.Rollout, key uint64, session ident.SessionKey) bool {
	if session.Session == "" {
		return below(key, r.Share(now, t.settings.Exposure))
	}
	if r.Stage == world.StageMoving {
		return true
	}
	key = draw(r, session)
	if t.kept.has(now, key) {
		t.hold(r, session, now)
		return false
	}
	return below(key, r.Share(now, t.settings.Exposure))
}

// serves tells whether a version has an endpoint that bears its full load.
func serves(now time.Time, v *world.View, service ident.ServiceID, version ident.VersionID) bool {
	for _, e := range v.Endpoints(service) {
		if e.Version == version && !e.Cold(now) {
			return true
		}
	}
	return false
}

// Observe takes in how an attempt fared.
func (t *Steer) Observe(now time.Time, id paths.RouteID, session ident.SessionKey, report pass.Report) {
	if session.Session != "" {
		t.pins.put(now, session, report.Endpoint.Service)
	}
	if report.Outcome != route.OutcomeDone && report.Outcome != route.OutcomeFailed {
		return
	}
	e := report.Endpoint
	v := t.View()
	r, ok := v.Rollouts[e.Service]
	if !ok || !r.Open() {
		return
	}
	if session.Session != "" && e.Version != r.Target {
		t.hold(r, session, now)
	}
	if e.Cold(now) {
		return
	}
	config, state := trialConfig(v, r)
	view, ok := roll.Look(now, config, state)
	if !ok {
		return
	}
	outcome := roll.Outcome{Failed: report.Failed, First: scaled(max(report.First, report.Took), report.Work)}
	release := ident.Release{Model: modelOf(r), Version: e.Version}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.trials.evidence.Record(now, t.trials.self, view, ident.TeamID(id), release, outcome)
}

// scaled puts the time to a first event in proportion to the work foreseen of a
// request of its size, so that long prompts do not hide a slow version.
func scaled(first, work time.Duration) time.Duration {
	if first <= 0 || work <= 0 {
		return first
	}
	return max(1, time.Duration(float64(first)/float64(work)*float64(scaleUnit)))
}

// scaleUnit stands for a first event that comes as foreseen.
const scaleUnit = 100 * time.Millisecond

// trialConfig puts a roll-out of a service into the terms of package roll: the
// service is the model, and its routes are the teams that may suffer alone.
func trialConfig(v *world.View, r world.Rollout) (*fleet.Config, fleet.RolloutState) {
	model := modelOf(r)
	stable := v.Stable(r.Service)
	teams := map[ident.TeamID]*fleet.Team{}
	for _, id := range v.Config.RoutesOf(r.Service) {
		teams[ident.TeamID(id)] = &fleet.Team{ID: ident.TeamID(id)}
	}
	return &fleet.Config{
		Teams: teams,
		Models: map[ident.ModelID]*fleet.Model{
			model: {ID: model, Default: stable, Versions: []ident.VersionID{stable, r.Target}},
		},
		Rollouts: map[ident.ModelID]*fleet.Rollout{
			model: {Model: model, To: r.Target, Steps: []fleet.Step{{Evidence: world.TrialAnswers}}, Limits: limits},
		},
	}, fleet.RolloutState{
		Model: model, To: r.Target, Entered: r.Seen,
	}
}

// modelOf names the evidence on one order apart from that on earlier ones.
func modelOf(r world.Rollout) ident.ModelID {
	return ident.ModelID(string(r.Service) + "#" + r.Order)
}

// carry takes each open roll-out a stage further if it is time.
func (t *Steer) carry(ctx context.Context, now time.Time) {
	v := t.View()
	if !v.Ready {
		return
	}
	for _, r := range v.Rollouts {
		if !r.Open() {
			continue
		}
		config, state := trialConfig(v, r)
		t.lock.Lock()
		decision := roll.Decide(now, config, state, t.trials.evidence)
		waiting := now.Before(t.trials.writing[r.Service])
		t.lock.Unlock()
		t.judged(now, r, decision)
		stage, reason := r.Next(now, decision, t.turn(r))
		if stage == r.Stage || waiting {
			continue
		}
		t.lock.Lock()
		t.trials.writing[r.Service] = now.Add(writePause)
		t.lock.Unlock()
		t.advance(ctx, r, stage, reason)
	}
}

// judged logs what the evidence on a roll-out says, now and then.
func (t *Steer) judged(now time.Time, r world.Rollout, decision roll.Decision) {
	t.lock.Lock()
	due := now.Sub(t.trials.logged[r.Service]) >= judgeEvery
	if due {
		t.trials.logged[r.Service] = now
	}
	total := t.trials.evidence.Total(roll.Key{Release: ident.Release{Model: modelOf(r), Version: r.Target}})
	t.lock.Unlock()
	if due {
		t.log.Info("rollout judged", zap.String("name", string(r.Service)), zap.String("target", string(r.Target)),
			zap.String("stage", string(r.Stage)), zap.Duration("age", now.Sub(r.Seen)),
			zap.String("verdict", fmt.Sprintf("%T", decision)), zap.Any("detail", decision),
			zap.Uint64("answers", total[roll.CountRequests]), zap.Uint64("failed", total[roll.CountErrors]),
			zap.Duration("median", total.Median()), zap.Any("counts", total.Sparse()))
	}
}

// judgeEvery is the pause between log lines on the evidence of one roll-out.
const judgeEvery = 2 * time.Second

// writePause is the pause between this router's writes of one roll-out.
const writePause = time.Second

// turn parts the routers, from 0 to 1, so that one of them writes a stage and
// the others see it.
func (t *Steer) turn(r world.Rollout) float64 {
	h := xxhash.Sum64String(string(t.settings.Router) + "/" + string(r.Service) + "/" + string(r.Target) + "/" + string(r.Stage))
	return float64(h>>11) / (1 << 53)
}

// advance writes a roll-out's stage, on the condition that nobody has since.
func (t *Steer) advance(ctx context.Context, r world.Rollout, stage world.Stage, reason string) {
	key, value, err := t.kinds.Progress(r, stage)
	if err != nil {
		t.log.Error("rollout not written", zap.String("name", string(r.Service)), zap.Error(err))
		return
	}
	_, err = t.store.Put(ctx, plat.ClassConfig, key, value, plat.Version(r.Revision))
	fields := []zap.Field{
		zap.String("name", string(r.Service)), zap.String("target", string(r.Target)), zap.String("from", string(r.Stage)),
		zap.String("to", string(stage)), zap.Uint64("revision", r.Revision), zap.String("reason", reason),
	}
	switch {
	case errors.Is(err, plat.ErrConflict):
		t.log.Info("rollout written by another router", fields...)
	case err != nil:
		t.log.Warn("rollout not written", append(fields, zap.Error(err))...)
	default:
		t.log.Info("rollout written", fields...)
	}
}
