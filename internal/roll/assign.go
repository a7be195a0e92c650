package roll

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// SessionHash returns the hash by which a session is assigned to a version.
func SessionHash(session ident.SessionKey) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(session.Team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(session.Session))
	return d.Sum64()
}

// Assignment is the version that a new session gets.
type Assignment struct {
	Version   ident.VersionID
	Candidate bool // the version is being rolled out; the session counts as exposed
}

// Assign returns the version of a new session, chosen by the session's hash and
// the current step of the roll-out. It returns false if the team may not use
// any version that is not withdrawn.
func Assign(seed uint64, snapshot *fleet.Snapshot, team *fleet.Team, model ident.ModelID, quota Quota) (Assignment, bool) {
	m, ok := snapshot.Config.Models[model]
	if !ok {
		return Assignment{}, false
	}
	allowed := func(v ident.VersionID) bool {
		r := ident.Release{Model: model, Version: v}
		return snapshot.Allowed(r) && team.Allows(r)
	}
	rollout := snapshot.Config.Rollouts[model]
	state, started := snapshot.Rollouts[model]
	running := rollout != nil && !rollout.Aborted && started && state.To == rollout.To
	if running && allowed(rollout.To) {
		if state.Step >= len(rollout.Steps) {
			return Assignment{Version: rollout.To}, true
		}
		if inCandidateShare(seed, rollout, state, quota) {
			return Assignment{Version: rollout.To, Candidate: true}, true
		}
	}
	return stableVersion(m, rollout, allowed)
}

// stableVersion returns the default version or, if that is not allowed, the
// last declared version that is allowed and is not being rolled out.
func stableVersion(m *fleet.Model, rollout *fleet.Rollout, allowed func(ident.VersionID) bool) (Assignment, bool) {
	if allowed(m.Default) {
		return Assignment{Version: m.Default}, true
	}
	for i := len(m.Versions) - 1; i >= 0; i-- {
		v := m.Versions[i]
		if allowed(v) && (rollout == nil || v != rollout.To) {
			return Assignment{Version: v}, true
		}
	}
	return Assignment{}, false
}

// holdbackShare is the share of new sessions that stays on the default version
// until a roll-out is finished, as the control group of the comparison.
const holdbackShare = 0.05

// inCandidateShare reports whether a new session gets the candidate in the
// current step.
func inCandidateShare(seed uint64, rollout *fleet.Rollout, state fleet.RolloutState, quota Quota) bool {
	if state.Full || quota.Limited && quota.Remaining <= 0 {
		return false
	}
	share := min(float64(rollout.Steps[state.Step].Share), 1-holdbackShare)
	return rolloutFraction(seed, rollout) < share
}

// rolloutFraction maps a session's hash to [0, 1), differently for each
// roll-out, so that the first steps of all roll-outs do not expose the same
// sessions.
func rolloutFraction(seed uint64, rollout *fleet.Rollout) float64 {
	mixed := seed ^ xxhash.Sum64String(string(rollout.Model)) ^ xxhash.Sum64String(string(rollout.To))*3
	return float64(splitMix64(mixed)>>11) / math.Exp2(53)
}

// splitMix64 returns the next output of SplitMix64 for state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
