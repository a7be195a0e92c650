package syncer

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/proxy"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// rolloutTracker collects evidence on versions that are being rolled out.
type rolloutTracker struct {
	source      roll.Source
	evidence    *roll.Tallies
	baseline    *roll.LatencyBaseline
	truncations *roll.Truncations
	quotas      map[rolloutID]*world.Quota
	buffered    map[roll.TallyKey]roll.Tally  // of old versions, not yet in evidence
	flushTime   time.Time                     // when buffered was last emptied
	untimed     []untimedAnswer               // of targets, until there is a baseline
	nextWrite   map[ident.ServiceID]time.Time // earliest time of the next stage write
	lastLogged  map[ident.ServiceID]time.Time // when the verdict was last logged
}

// untimedAnswer is an answer of a target that was not compared with the latency
// baseline, since that had too few answers.
type untimedAnswer struct {
	kinds answerKinds
	ratio float64
	key   roll.TallyKey
}

// answerKinds names the baselines that an answer is compared with, the closest first. A
// router of a large fleet gets too few requests on each route to learn its latency during
// a roll-out, and then goes by that of the service.
type answerKinds [2]string

func answerKindsOf(id paths.RouteID, report proxy.Report) answerKinds {
	return answerKinds{string(id) + "/" + string(report.Model), "service " + string(report.Endpoint.Service) + "/" + string(report.Model)}
}

// slow reports whether an answer is slow by the closest baseline that has enough answers.
func (t *rolloutTracker) slow(kinds answerKinds, ratio float64) (slow, known bool) {
	for _, kind := range kinds {
		if slow, known = t.baseline.Slow(kind, ratio); known {
			return slow, true
		}
	}
	return false, false
}

// maxUntimedAnswers bounds the answers that wait for a baseline.
const maxUntimedAnswers = 512

// rolloutID identifies a roll-out among all roll-outs of the same service.
type rolloutID string

const (
	// sliceDuration is the length of the time slices in which evidence is counted.
	sliceDuration = 4 * time.Second
	// flushInterval is the time for which results of old versions are buffered
	// before they are shared: they are many, and each one carries little
	// information.
	flushInterval = 1200 * time.Millisecond
)

func newRolloutTracker(s Settings, now time.Time) *rolloutTracker {
	return &rolloutTracker{
		source:      roll.Source{Router: s.Router, Incarnation: uint64(now.UnixNano())},
		evidence:    roll.NewTallies(),
		baseline:    roll.NewLatencyBaseline(),
		truncations: roll.NewTruncations(),
		quotas:      map[rolloutID]*world.Quota{},
		buffered:    map[roll.TallyKey]roll.Tally{},
		nextWrite:   map[ident.ServiceID]time.Time{},
		lastLogged:  map[ident.ServiceID]time.Time{},
	}
}

// SelectVersion returns the version of a service that a request should run on,
// or "" for any. A session in use keeps its version during the trial and changes
// it once, when all load moves. A new session is assigned by its hash, as a
// request without a session is by key.
func (c *Controller) SelectVersion(now time.Time, v *world.View, service ident.ServiceID, key uint64, session ident.SessionKey) ident.VersionID {
	if session.Session != "" {
		c.recent.record(now, session, service)
	}
	r, ok := v.Rollouts[service]
	if !ok || !r.Active() {
		return ""
	}
	stable := v.StableVersion(service)
	chosen := stable
	if c.assignedToTarget(now, r, key, session) {
		chosen = r.Target
	}
	other := stable
	if chosen == stable {
		other = r.Target
	}
	if hasWarmEndpoint(now, v, service, chosen) {
		return chosen
	}
	if chosen == r.Target || r.Stage == world.StageMoving {
		return other
	}
	return chosen
}

// assignedToTarget reports whether a request goes to a roll-out's target.
func (c *Controller) assignedToTarget(now time.Time, r world.Rollout, key uint64, session ident.SessionKey) bool {
	if session.Session == "" {
		return withinShare(key, c.targetShare(now, r))
	}
	if r.Stage == world.StageMoving {
		return true
	}
	key = rolloutHash(r, session)
	if c.pinned.contains(now, key) {
		c.pinSession(r, session, now)
		return false
	}
	return withinShare(key, r.TargetShare(now, c.settings.TrialShare))
}

// hasWarmEndpoint reports whether a version has an endpoint that is past its
// cold start and can take its full load.
func hasWarmEndpoint(now time.Time, v *world.View, service ident.ServiceID, version ident.VersionID) bool {
	for _, e := range v.Endpoints(service) {
		if e.Version == version && !e.Cold(now) {
			return true
		}
	}
	return false
}

// targetShare returns the share of requests without a session that goes to a
// roll-out's target.
func (c *Controller) targetShare(now time.Time, r world.Rollout) ident.Share {
	if r.Stage != world.StageTrial {
		return r.TargetShare(now, c.settings.TrialShare)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.quotaOf(r).Share(c.settings.TrialShare, c.settings.TrialSlack, c.RouterCount())
}

// quotaOf returns the count of requests that this router has sent to a roll-out's
// target and in total. The caller must hold c.lock.
func (c *Controller) quotaOf(r world.Rollout) *world.Quota {
	id := rolloutIDOf(r)
	q := c.tracker.quotas[id]
	if q == nil {
		q = &world.Quota{}
		c.tracker.quotas[id] = q
	}
	return q
}

// Observe records the result of an attempt as evidence on its version.
func (c *Controller) Observe(now time.Time, id paths.RouteID, session ident.SessionKey, report proxy.Report) {
	e := report.Endpoint
	if session.Session != "" {
		c.recent.record(now, session, e.Service)
	}
	if report.Outcome != route.OutcomeDone && report.Outcome != route.OutcomeFailed || e.Cold(now) {
		return
	}
	r, ok := c.View().Rollouts[e.Service]
	open := ok && r.Active()
	old := !open || e.Version != r.Target
	tally, kinds, ratio := c.tracker.tally(id, report, old)
	if !open {
		return
	}
	if session.Session != "" && old {
		c.pinSession(r, session, now)
	}
	key := roll.TallyKey{Rollout: string(rolloutIDOf(r)), Version: e.Version, Group: roll.Group(id), Slice: sliceIndex(now, r)}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.quotaOf(r).Record(!old)
	incarnation := roll.Incarnation{Endpoint: e.ID, Started: e.StartedMillis}
	if report.Disconnected {
		c.tracker.truncations.Record(now, incarnation, key, tally)
		return
	}
	for k, truncated := range c.tracker.truncations.Confirm(now, incarnation) {
		c.tracker.record(now, k, truncated, k.Version != r.Target)
	}
	c.tracker.record(now, key, tally, old)
	if !old && ratio > 0 && tally.Timed == 0 && len(c.tracker.untimed) < maxUntimedAnswers {
		c.tracker.untimed = append(c.tracker.untimed, untimedAnswer{kinds: kinds, ratio: ratio, key: key})
	}
	if old {
		c.tracker.timeAnswers(now)
	}
}

// timeAnswers compares the target's answers that have waited for a baseline with it.
// On a service with little load a router learns the baseline only during the trial.
func (t *rolloutTracker) timeAnswers(now time.Time) {
	t.untimed = slices.DeleteFunc(t.untimed, func(u untimedAnswer) bool {
		slow, known := t.slow(u.kinds, u.ratio)
		if !known {
			return false
		}
		tally := roll.Tally{Timed: 1}
		if slow {
			tally.Slow = 1
		}
		t.record(now, u.key, tally, false)
		return true
	})
}

// tally returns the counts for one attempt, and its ratio to the expected latency
// with the kinds of answer, 0 if there is nothing to compare. The latency baselines are
// learned from old versions.
func (t *rolloutTracker) tally(id paths.RouteID, report proxy.Report, old bool) (tally roll.Tally, kinds answerKinds, ratio float64) {
	tally = roll.Tally{Answers: 1}
	if report.Failed {
		tally.Failed = 1
	}
	ratio = latencyRatio(max(report.FirstLatency, report.Duration), report.ServiceTime)
	if ratio == 0 {
		return tally, answerKinds{}, 0
	}
	kinds = answerKindsOf(id, report)
	if slow, known := t.slow(kinds, ratio); known {
		tally.Timed = 1
		if slow {
			tally.Slow = 1
		}
	}
	if old {
		for _, kind := range kinds {
			t.baseline.Add(kind, ratio)
		}
	}
	return tally, kinds, ratio
}

// record adds counts to the evidence. Counts of an old version are buffered.
func (t *rolloutTracker) record(now time.Time, key roll.TallyKey, tally roll.Tally, old bool) {
	if !old {
		t.evidence.Add(key, t.source, tally)
		return
	}
	t.buffered[key] = t.buffered[key].Add(tally)
	t.flush(now)
}

// flush adds the buffered counts to the evidence if flushInterval has passed.
func (t *rolloutTracker) flush(now time.Time) {
	if now.Sub(t.flushTime) < flushInterval {
		return
	}
	t.flushTime = now
	for key, tally := range t.buffered {
		t.evidence.Add(key, t.source, tally)
	}
	clear(t.buffered)
}

// remove deletes the quota and the evidence of a roll-out that has ended.
func (t *rolloutTracker) remove(id rolloutID) {
	delete(t.quotas, id)
	t.untimed = slices.DeleteFunc(t.untimed, func(u untimedAnswer) bool { return u.key.Rollout == string(id) })
	t.evidence.Retain(func(order string) bool { return order != string(id) })
}

// sliceIndex returns the index of the time slice of a roll-out that contains now.
func sliceIndex(now time.Time, r world.Rollout) int {
	return int(max(0, now.Sub(r.FirstSeen)) / sliceDuration)
}

// latencyRatio returns the time to the first event divided by the expected work
// of the request, so that long prompts do not hide a slow version. Queueing at
// the endpoint is not part of the expected work, since a slow version builds up
// a queue of its own. It returns 0 if there is nothing to compare.
func latencyRatio(first, work time.Duration) float64 {
	if first <= 0 || work <= 0 {
		return 0
	}
	return float64(first) / float64(work)
}

// rolloutIDOf returns the identifier of a roll-out.
func rolloutIDOf(r world.Rollout) rolloutID { return rolloutID(string(r.Service) + "#" + r.OrderID) }

// advanceRollouts writes the stage of each roll-out that is due.
func (c *Controller) advanceRollouts(ctx context.Context, now time.Time) {
	v := c.View()
	if !v.Ready {
		return
	}
	for _, r := range v.Rollouts {
		c.lock.Lock()
		if !r.Active() {
			c.tracker.remove(rolloutIDOf(r))
		}
		c.tracker.flush(now)
		verdict := c.tracker.evidence.Compare(string(rolloutIDOf(r)), v.StableVersion(r.Service), r.Target, sliceIndex(now, r))
		waiting := now.Before(c.tracker.nextWrite[r.Service])
		c.lock.Unlock()
		if r.Active() {
			c.logVerdict(now, r, verdict)
		}
		stage, reason := r.NextStage(now, verdict, c.writeDelayFraction(r))
		if reason == "" || waiting {
			continue
		}
		c.lock.Lock()
		c.tracker.nextWrite[r.Service] = now.Add(stageWriteInterval)
		c.lock.Unlock()
		c.writeStage(ctx, r, stage, reason)
	}
}

// logVerdict logs the verdict on a roll-out at most once per verdictLogInterval.
func (c *Controller) logVerdict(now time.Time, r world.Rollout, verdict roll.Verdict) {
	c.lock.Lock()
	due := now.Sub(c.tracker.lastLogged[r.Service]) >= verdictLogInterval
	if due {
		c.tracker.lastLogged[r.Service] = now
	}
	c.lock.Unlock()
	if due {
		c.log.Info("rollout judged", zap.String("name", string(r.Service)), zap.String("target", string(r.Target)),
			zap.String("stage", string(r.Stage)), zap.Duration("age", now.Sub(r.FirstSeen)),
			zap.Float64("chance", verdict.PValue), zap.Float64("doubt", verdict.Doubt), zap.Uint64("answers", verdict.LoadAnswers), zap.Uint64("timed", verdict.LoadTimed),
			zap.String("worst", verdict.Describe()))
	}
}

// verdictLogInterval is the pause between log lines on the verdict on a roll-out.
const verdictLogInterval = 2 * time.Second

// stageWriteInterval is the pause between this router's writes of one roll-out.
const stageWriteInterval = time.Second

// writeDelayFraction returns this router's delay before it writes a stage, from 0
// to 1. It differs between routers, so that one of them writes the stage and the
// others see it before they would.
func (c *Controller) writeDelayFraction(r world.Rollout) float64 {
	h := xxhash.Sum64String(string(c.settings.Router) + "/" + string(r.Service) + "/" + string(r.Target) + "/" + string(r.Stage))
	return float64(h>>11) / (1 << 53)
}

// writeStage writes a roll-out's stage, provided that the roll-out has not
// changed since it was read.
func (c *Controller) writeStage(ctx context.Context, r world.Rollout, stage world.Stage, reason string) {
	key, value, err := c.codec.EncodeStage(r, stage)
	if err != nil {
		c.log.Error("rollout not written", zap.String("name", string(r.Service)), zap.Error(err))
		return
	}
	_, err = c.store.Put(ctx, plat.ClassConfig, key, value, r.Revision)
	fields := []zap.Field{
		zap.String("name", string(r.Service)), zap.String("target", string(r.Target)), zap.String("from", string(r.Stage)),
		zap.String("to", string(stage)), zap.Stringer("revision", r.Revision), zap.String("reason", reason),
	}
	switch {
	case errors.Is(err, plat.ErrConflict):
		c.log.Info("rollout written by another router", fields...)
	case err != nil:
		c.log.Warn("rollout not written", append(fields, zap.Error(err))...)
	default:
		c.log.Info("rollout written", fields...)
	}
}
