package steer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

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
	evidence *roll.Brief
	usual    *roll.Usual
	cuts     *roll.Cuts
	quotas   map[orderID]*world.Quota
	held     map[roll.BriefKey]roll.Tally  // of old versions, not yet in the evidence
	flushed  time.Time                     // when held was last emptied
	writing  map[ident.ServiceID]time.Time // no other write before
	logged   map[ident.ServiceID]time.Time // when its evidence was last logged
}

// orderID names one roll-out, apart from earlier ones of the same service.
type orderID string

const (
	// sliceTime is the length of the slices in which evidence is counted.
	sliceTime = 4 * time.Second
	// holdTime is the pause between the times at which an old version's answers
	// are passed on: they are many, and each of them says little.
	holdTime = 1200 * time.Millisecond
)

func newTrials(s Settings, now time.Time) *trials {
	return &trials{
		self:     roll.Source{Router: s.Router, Incarnation: uint64(now.UnixNano())},
		evidence: roll.NewBrief(),
		usual:    roll.NewUsual(),
		cuts:     roll.NewCuts(),
		quotas:   map[orderID]*world.Quota{},
		held:     map[roll.BriefKey]roll.Tally{},
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
	if !ok || !r.Active() {
		return ""
	}
	stable := v.StableVersion(service)
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
		return below(key, t.share(now, r))
	}
	if r.Stage == world.StageMoving {
		return true
	}
	key = draw(r, session)
	if t.kept.has(now, key) {
		t.hold(r, session, now)
		return false
	}
	return below(key, r.TargetShare(now, t.settings.Exposure))
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

// share gives the part of the requests without a session that goes to a
// roll-out's target.
func (t *Steer) share(now time.Time, r world.Rollout) ident.Share {
	if r.Stage != world.StageTrial {
		return r.TargetShare(now, t.settings.Exposure)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.quota(r).Share(t.settings.Exposure, t.settings.Slack, t.Routers())
}

// quota gives what this router has sent to a roll-out's target.
func (t *Steer) quota(r world.Rollout) *world.Quota {
	id := orderOf(r)
	q := t.trials.quotas[id]
	if q == nil {
		q = &world.Quota{}
		t.trials.quotas[id] = q
	}
	return q
}

// Observe takes in how an attempt fared.
func (t *Steer) Observe(now time.Time, id paths.RouteID, session ident.SessionKey, report pass.Report) {
	e := report.Endpoint
	if session.Session != "" {
		t.pins.put(now, session, e.Service)
	}
	if report.Outcome != route.OutcomeDone && report.Outcome != route.OutcomeFailed || e.Cold(now) {
		return
	}
	r, ok := t.View().Rollouts[e.Service]
	open := ok && r.Active()
	old := !open || e.Version != r.Target
	tally := t.trials.tally(id, report, old)
	if !open {
		return
	}
	if session.Session != "" && old {
		t.hold(r, session, now)
	}
	key := roll.BriefKey{Order: string(orderOf(r)), Version: e.Version, Group: roll.Group(id), Slice: slice(now, r)}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.quota(r).Record(!old)
	life := roll.Life{Endpoint: e.ID, Born: e.StartedMillis}
	if report.Cut {
		t.trials.cuts.Cut(now, life, key, tally)
		return
	}
	for k, c := range t.trials.cuts.Answered(now, life) {
		t.trials.count(now, k, c, k.Version != r.Target)
	}
	t.trials.count(now, key, tally, old)
}

// tally counts one answer. What is usual is learned from old versions.
func (t *trials) tally(id paths.RouteID, report pass.Report, old bool) roll.Tally {
	tally := roll.Tally{Answers: 1}
	if report.Failed {
		tally.Failed = 1
	}
	ratio := inProportion(max(report.First, report.Took), report.Work)
	if ratio == 0 {
		return tally
	}
	kind := string(id) + "/" + string(report.Model)
	if slow, known := t.usual.Slow(kind, ratio); known {
		tally.Timed = 1
		if slow {
			tally.Slow = 1
		}
	}
	if old {
		t.usual.Add(kind, ratio)
	}
	return tally
}

// count takes answers in. Those of an old version are gathered for a while.
func (t *trials) count(now time.Time, key roll.BriefKey, tally roll.Tally, old bool) {
	if !old {
		t.evidence.Add(key, t.self, tally)
		return
	}
	t.held[key] = t.held[key].Plus(tally)
	t.flush(now)
}

// flush takes the gathered answers into the evidence if it is time.
func (t *trials) flush(now time.Time) {
	if now.Sub(t.flushed) < holdTime {
		return
	}
	t.flushed = now
	for key, h := range t.held {
		t.evidence.Add(key, t.self, h)
	}
	clear(t.held)
}

// forget drops what is known of a roll-out that is over.
func (t *trials) forget(id orderID) {
	delete(t.quotas, id)
	t.evidence.Retain(func(order string) bool { return order != string(id) })
}

// slice gives the slice of a roll-out's evidence in which a time falls.
func slice(now time.Time, r world.Rollout) int { return int(max(0, now.Sub(r.FirstSeen)) / sliceTime) }

// inProportion puts the time to a first event in proportion to the work that was
// foreseen, so that long prompts do not hide a slow version. What waits at an
// endpoint is left out: a slow version makes its own queue. It gives 0 if there
// is nothing to compare.
func inProportion(first, work time.Duration) float64 {
	if first <= 0 || work <= 0 {
		return 0
	}
	return float64(first) / float64(work)
}

// orderOf names the evidence on one roll-out apart from that on earlier ones.
func orderOf(r world.Rollout) orderID { return orderID(string(r.Service) + "#" + r.OrderID) }

// carry takes each open roll-out a stage further if it is time.
func (t *Steer) carry(ctx context.Context, now time.Time) {
	v := t.View()
	if !v.Ready {
		return
	}
	for _, r := range v.Rollouts {
		if !r.Active() {
			t.lock.Lock()
			t.trials.forget(orderOf(r))
			t.lock.Unlock()
			continue
		}
		t.lock.Lock()
		t.trials.flush(now)
		verdict := t.trials.evidence.Judge(string(orderOf(r)), v.StableVersion(r.Service), r.Target, slice(now, r))
		waiting := now.Before(t.trials.writing[r.Service])
		t.lock.Unlock()
		t.judged(now, r, verdict)
		stage, reason := r.NextStage(now, verdict, t.turn(r))
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
func (t *Steer) judged(now time.Time, r world.Rollout, verdict roll.Verdict) {
	t.lock.Lock()
	due := now.Sub(t.trials.logged[r.Service]) >= judgeEvery
	if due {
		t.trials.logged[r.Service] = now
	}
	t.lock.Unlock()
	if due {
		t.log.Info("rollout judged", zap.String("name", string(r.Service)), zap.String("target", string(r.Target)),
			zap.String("stage", string(r.Stage)), zap.Duration("age", now.Sub(r.FirstSeen)),
			zap.Float64("chance", verdict.Chance), zap.Uint64("answers", verdict.Answers),
			zap.String("worst", verdict.Describe()))
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
