package roll

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Seed gives the hash of a session by which it is assigned to a version.
func SessionHash(session ident.SessionKey) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(session.Team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(session.Session))
	return d.Sum64()
}

// Choice is the version that a new session gets.
type Assignment struct {
	Version   ident.VersionID
	Candidate bool // the version is under roll-out; the session counts as exposed
}

// Assign chooses the version of a new session by the hash of the session
// within the step in force. It is false if the team may use no version.
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
		if inStep(seed, rollout, state, quota) {
			return Assignment{Version: rollout.To, Candidate: true}, true
		}
	}
	return stable(m, rollout, allowed)
}

// stable gives the default version, or else the last declared version that is
// allowed and not under roll-out.
func stable(m *fleet.Model, rollout *fleet.Rollout, allowed func(ident.VersionID) bool) (Assignment, bool) {
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

// holdback is the share of new sessions that stays on the default version
// until a roll-out is finished, so that there is something to compare with.
const holdback = 0.05

func inStep(seed uint64, rollout *fleet.Rollout, state fleet.RolloutState, quota Quota) bool {
	if state.Full || quota.Limited && quota.Remaining <= 0 {
		return false
	}
	share := min(float64(rollout.Steps[state.Step].Share), 1-holdback)
	return spread(seed, rollout) < share
}

// spread maps a session to [0, 1), differently for each roll-out, so that the
// same sessions do not bear every roll-out's first step.
func spread(seed uint64, rollout *fleet.Rollout) float64 {
	mixed := seed ^ xxhash.Sum64String(string(rollout.Model)) ^ xxhash.Sum64String(string(rollout.To))*3
	return float64(mix(mixed)>>11) / math.Exp2(53)
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
