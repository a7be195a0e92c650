package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	maxNamesShown = 20 // names listed as accepted in a message
	maxSteps      = 100
)

// check validates references between tables and contradictions within the whole
// configuration.
func (b *builder) check() {
	for _, o := range b.sorted(kindModel) {
		b.checkModel(o, b.config.Models[ident.ModelID(o.name)])
	}
	for _, r := range b.config.Rollouts {
		b.checkRollout(b.rolloutObject(r.Model), r)
	}
	for _, o := range b.sorted(kindTeam) {
		b.checkTeam(o, b.config.Teams[ident.TeamID(o.name)])
	}
	for _, o := range b.sorted(kindEndpoint) {
		b.checkEndpoint(o, b.config.Endpoints[ident.EndpointID(o.name)])
	}
	b.checkKeys()
	b.checkAddresses()
}

func (b *builder) checkModel(o *object, m *fleet.Model) {
	b.checkDuplicates(o, "versions", toStrings(m.Versions))
	if len(m.Versions) == 0 {
		return // the missing key is reported already
	}
	if m.Default != "" && !contains(m.Versions, m.Default) {
		b.addProblem(o, "default", fmt.Sprintf("%q is not a version of model %q", m.Default, o.name), list(m.Versions))
	}
	if contains(m.Withdrawn, m.Default) {
		b.addProblem(o, "default", fmt.Sprintf("default version %q is withdrawn", m.Default), "a version that is not withdrawn")
	}
	for _, v := range m.Withdrawn {
		if !contains(m.Versions, v) && !b.withdrawnByOverlay(m.ID, v) {
			b.addProblem(o, "withdrawn", fmt.Sprintf("%q is not a version of model %q", v, o.name), list(m.Versions))
		}
	}
}

// withdrawnByOverlay reports whether the overlay withdraws the version. The
// overlay keeps a withdrawal after the version is removed from its model.
func (b *builder) withdrawnByOverlay(model ident.ModelID, version ident.VersionID) bool {
	_, ok := b.objects[kindWithdrawn][ident.Release{Model: model, Version: version}.String()]
	return ok
}

// rolloutObject returns the table that declares a model's roll-out, or the overlay
// entry that started it.
func (b *builder) rolloutObject(model ident.ModelID) *object {
	if o, ok := b.objects[kindRollout][string(model)]; ok {
		return o
	}
	return b.objects[kindStart][string(model)]
}

func (b *builder) checkRollout(o *object, r *fleet.Rollout) {
	m, known := b.config.Models[r.Model]
	if !known {
		b.addProblem(o, "", fmt.Sprintf("model %q is not declared", r.Model), declared(b.config.Models))
		return
	}
	if r.To != "" && !contains(m.Versions, r.To) {
		b.addProblem(o, "to", fmt.Sprintf("%q is not a version of model %q", r.To, r.Model), list(m.Versions))
	}
	if len(r.Steps) == 0 || len(r.Steps) > maxSteps {
		b.addProblem(o, "steps", fmt.Sprintf("%d steps", len(r.Steps)), fmt.Sprintf("1 to %d steps", maxSteps))
	}
	for i := 1; i < len(r.Steps); i++ {
		if r.Steps[i].Share <= r.Steps[i-1].Share {
			b.addProblem(o, "steps", fmt.Sprintf("step %d does not raise the share of step %d", i+1, i), "shares that rise from step to step")
		}
	}
	for i, s := range r.Steps {
		if s.Share == 0 {
			b.addProblem(o, "steps", fmt.Sprintf("step %d has share 0", i+1), "a share above 0")
		}
	}
}

func (b *builder) checkTeam(o *object, t *fleet.Team) {
	granted := map[ident.ModelID]bool{}
	for _, g := range t.Models {
		granted[g.Model] = true
		b.checkGrant(o, g)
	}
	for _, s := range t.Services {
		if _, known := b.config.Services[s]; !known {
			b.addProblem(o, "services", fmt.Sprintf("service %q is not declared", s), declared(b.config.Services))
		}
	}
	b.checkDuplicates(o, "services", toStrings(t.Services))
	b.checkDuplicates(o, "cheaper", toStrings(t.CheaperModels))
	for _, c := range t.CheaperModels {
		b.checkCheaper(o, t, c, granted[c])
	}
	if t.Burst > 0 && t.Rate == 0 {
		b.addProblem(o, "burst", "burst without a rate", "a rate above 0 beside it")
	}
}

func (b *builder) checkGrant(o *object, g fleet.ModelGrant) {
	m, known := b.config.Models[g.Model]
	if !known {
		b.addProblem(o, "models", fmt.Sprintf("model %q is not declared", g.Model), declared(b.config.Models))
		return
	}
	for _, v := range g.Versions {
		if !contains(m.Versions, v) {
			b.addProblem(o, "models", fmt.Sprintf("%q is not a version of model %q", v, g.Model), list(m.Versions))
		}
	}
}

// checkCheaper validates that the cheaper model is granted to the team and costs
// less than another of its models.
func (b *builder) checkCheaper(o *object, t *fleet.Team, cheaper ident.ModelID, granted bool) {
	m, known := b.config.Models[cheaper]
	switch {
	case !known:
		b.addProblem(o, "cheaper", fmt.Sprintf("model %q is not declared", cheaper), declared(b.config.Models))
		return
	case !granted:
		b.addProblem(o, "cheaper", fmt.Sprintf("model %q is not among the team's models", cheaper), "a model listed under models")
		return
	}
	for _, g := range t.Models {
		if other, ok := b.config.Models[g.Model]; ok && other.Price > m.Price {
			return
		}
	}
	b.addProblem(o, "cheaper", fmt.Sprintf("model %q is not cheaper than any other model of the team", cheaper), "a model of lower price")
}

func (b *builder) checkEndpoint(o *object, e *fleet.EndpointSpec) {
	if _, known := b.config.Zones[e.Zone]; e.Zone != "" && !known {
		b.addProblem(o, "zone", fmt.Sprintf("zone %q is not declared", e.Zone), declared(b.config.Zones))
	}
	if (e.Service == "") == (e.Release == ident.Release{}) {
		b.addProblem(o, "", "neither or both of release and service are given", "exactly one of release and service")
	}
	if _, known := b.config.Services[e.Service]; e.Service != "" && !known {
		b.addProblem(o, "service", fmt.Sprintf("service %q is not declared", e.Service), declared(b.config.Services))
	}
	if e.Release != (ident.Release{}) {
		b.checkRelease(o, e.Release)
	}
	if e.Slots > 0 && e.ColdSlots > e.Slots {
		b.addProblem(o, "cold", fmt.Sprintf("cold %d is more than slots %d", e.ColdSlots, e.Slots), "at most slots")
	}
}

func (b *builder) checkRelease(o *object, r ident.Release) {
	m, known := b.config.Models[r.Model]
	if !known {
		b.addProblem(o, "release", fmt.Sprintf("model %q is not declared", r.Model), declared(b.config.Models))
		return
	}
	if !contains(m.Versions, r.Version) {
		b.addProblem(o, "release", fmt.Sprintf("%q is not a version of model %q", r.Version, r.Model), list(m.Versions))
	}
}

// checkKeys reports keys shared by teams, since a key identifies the team.
func (b *builder) checkKeys() {
	owners := map[fleet.KeyHash]ident.TeamID{}
	for _, o := range b.sorted(kindTeam) {
		for _, key := range b.config.Teams[ident.TeamID(o.name)].Keys {
			owner, taken := owners[key]
			if taken {
				b.addProblem(o, "keys", fmt.Sprintf("a key is also a key of team %q", owner), "a key for one team, once")
			}
			owners[key] = ident.TeamID(o.name)
		}
	}
}

// checkAddresses reports addresses shared by endpoints, since the load limits of
// both endpoints together could overload the address.
func (b *builder) checkAddresses() {
	owners := map[string]ident.EndpointID{}
	for _, o := range b.sorted(kindEndpoint) {
		e := b.config.Endpoints[ident.EndpointID(o.name)]
		owner, taken := owners[e.Address]
		if taken && e.Address != "" {
			b.addProblem(o, "address", fmt.Sprintf("endpoint %q has this address, too", owner), "an address of its own")
		}
		owners[e.Address] = e.ID
	}
}

func (b *builder) checkDuplicates(o *object, key string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			b.addProblem(o, key, fmt.Sprintf("%q is listed twice", name), "each name once")
		}
		seen[name] = true
	}
}

func (b *builder) addProblem(o *object, key, message, accepted string) {
	if key == "" || isOverlay(o.kind) {
		b.problems = append(b.problems, o.fragments[0].document.Problem(o.path(), message, accepted))
		return
	}
	b.problems = append(b.problems, o.problem(key, message, accepted))
}

func contains[T comparable](all []T, value T) bool {
	for _, v := range all {
		if v == value {
			return true
		}
	}
	return false
}

func toStrings[S ~string](all []S) []string {
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = string(s)
	}
	return out
}

// list returns the names sorted and separated by commas, at most maxNamesShown of
// them.
func list[S ~string](all []S) string {
	sorted := toStrings(all)
	sort.Strings(sorted)
	if len(sorted) == 0 {
		return "none is declared yet"
	}
	if len(sorted) > maxNamesShown {
		return fmt.Sprintf("%s and %d more", strings.Join(sorted[:maxNamesShown], ", "), len(sorted)-maxNamesShown)
	}
	return strings.Join(sorted, ", ")
}

// declared lists the declared names that a reference accepts.
func declared[S ~string, V any](all map[S]V) string {
	names := make([]S, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	return list(names)
}
