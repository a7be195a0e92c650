package config

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Values of a model's roll-out in the hold table.
const (
	HoldPaused  = "paused"
	HoldAborted = "aborted"
	HoldNone    = "none"
)

// applyOverlay applies the overlay tables, by which commands change declared
// objects without editing the operators' files. The order matters: a default only
// replaces a withdrawn one, and a roll-out is started before it is held.
func (b *builder) applyOverlay() {
	for _, o := range b.sorted(kindOut) {
		b.applyZoneOut(o)
	}
	for _, o := range b.sorted(kindWithdrawn) {
		b.applyWithdrawn(o)
	}
	for _, o := range b.sorted(kindDefault) {
		b.applyDefault(o)
	}
	for _, o := range b.sorted(kindStart) {
		b.applyStart(o)
	}
	for _, o := range b.sorted(kindHold) {
		b.applyHold(o)
	}
}

func (b *builder) applyZoneOut(o *object) {
	out, isBool := o.value().(bool)
	z, known := b.config.Zones[ident.ZoneID(o.name)]
	switch {
	case !isBool:
		b.addOverlayProblem(o, "value is not accepted", "true or false")
	case !known:
		b.addOverlayProblem(o, fmt.Sprintf("zone %q is not declared", o.name), declared(b.config.Zones))
	default:
		z.Out = out
	}
}

func (b *builder) applyDefault(o *object) {
	version, isText := o.value().(string)
	m, known := b.config.Models[ident.ModelID(o.name)]
	switch {
	case !isText:
		b.addOverlayProblem(o, "value is not accepted", "a version of the model")
	case !known:
		b.addOverlayProblem(o, fmt.Sprintf("model %q is not declared", o.name), declared(b.config.Models))
	case contains(m.Withdrawn, m.Default):
		m.Default = ident.VersionID(version)
	}
}

func (b *builder) applyWithdrawn(o *object) {
	if _, isText := o.value().(string); !isText {
		b.addOverlayProblem(o, "value is not accepted", "the reason, a string")
		return
	}
	release, _ := ident.ParseRelease(o.name) // validated with the key
	m, known := b.config.Models[release.Model]
	if known && !contains(m.Withdrawn, release.Version) {
		m.Withdrawn = append(m.Withdrawn, release.Version)
	}
}

func (b *builder) applyStart(o *object) {
	version, isText := o.value().(string)
	if !isText || !input.IsName(version) {
		b.addOverlayProblem(o, "value is not accepted", "a version of the model")
		return
	}
	model := ident.ModelID(o.name)
	r, exists := b.config.Rollouts[model]
	if !exists {
		r = &fleet.Rollout{Model: model, Steps: defaultSteps(), Limits: defaultLimits()}
		b.config.Rollouts[model] = r
	}
	r.To = ident.VersionID(version)
	r.Paused = false
	r.Aborted = false
}

func (b *builder) applyHold(o *object) {
	r, known := b.config.Rollouts[ident.ModelID(o.name)]
	if !known {
		b.addOverlayProblem(o, fmt.Sprintf("no roll-out of model %q is declared", o.name), declared(b.config.Rollouts))
		return
	}
	switch o.value() {
	case HoldPaused:
		r.Paused = true
	case HoldAborted:
		r.Aborted = true
	case HoldNone:
		r.Paused = false
		r.Aborted = false
	default:
		b.addOverlayProblem(o, "value is not accepted", fmt.Sprintf("one of %q", []string{HoldPaused, HoldAborted, HoldNone}))
	}
}

func (b *builder) addOverlayProblem(o *object, message, accepted string) {
	b.problems = append(b.problems, o.fragments[0].document.Problem(o.path(), message, accepted))
}

// value returns the value of an overlay entry.
func (o *object) value() any {
	return o.fragments[0].table[o.name]
}
