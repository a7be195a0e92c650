package roll_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("Assign", func() {
	steps := []fleet.RolloutStep{{Share: 0.01}, {Share: 0.3}, {Share: 1}}
	snapshot := func(step int) *fleet.Snapshot {
		return &fleet.Snapshot{
			Config:    config(steps...),
			Rollouts:  map[ident.ModelID]fleet.RolloutState{model: state(step)},
			Withdrawn: map[ident.Release]fleet.Withdrawal{},
		}
	}

	It("never moves a session back from the candidate in a later step", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			before := false
			for step := range len(steps) + 1 {
				assigned, ok := roll.Assign(seed, snapshot(step), team("a"), model, roll.Quota{})
				if !ok || before && assigned.Version != "2" {
					t.Fatalf("step %d moves the session back to version %s", step, assigned.Version)
				}
				before = assigned.Version == "2"
			}
			if !before {
				t.Fatal("the session is on the default version after the roll-out has finished")
			}
		})
	})

	It("never assigns a version that is withdrawn or that the team may not use", func() {
		only := &fleet.Team{ID: "c", Models: []fleet.ModelGrant{{Model: model, Versions: []ident.VersionID{"1"}}}}
		for step := range len(steps) + 1 {
			s := snapshot(step)
			for seed := range uint64(200) {
				assigned, ok := roll.Assign(seed, s, only, model, roll.Quota{})
				Expect(ok).To(BeTrue())
				Expect(assigned.Version).To(Equal(ident.VersionID("1")))
			}
			s.Withdrawn[release("2")] = fleet.Withdrawal{}
			assigned, _ := roll.Assign(7, s, team("a"), model, roll.Quota{})
			Expect(assigned.Version).To(Equal(ident.VersionID("1")))
			s.Withdrawn[release("1")] = fleet.Withdrawal{}
			_, ok := roll.Assign(7, s, team("a"), model, roll.Quota{})
			Expect(ok).To(BeFalse())
		}
	})

	It("exposes about the step's share of the sessions, and none without quota", func() {
		exposed := 0
		for seed := range uint64(10000) {
			assigned, _ := roll.Assign(seed, snapshot(1), team("a"), model, roll.Quota{})
			if assigned.Candidate {
				exposed++
			}
			assigned, _ = roll.Assign(seed, snapshot(2), team("a"), model, roll.Quota{Limited: true})
			Expect(assigned.Candidate).To(BeFalse())
		}
		Expect(exposed).To(BeNumerically("~", 3000, 300))
	})
})
