package route

import (
	"cmp"
	"slices"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Speed is a time learned from measurements.
type Speed struct {
	Seconds float64
	Samples float64 // number of measurements behind it
}

// ModelSpeed holds what is learned of a model's speed.
type ModelSpeed struct {
	Base       Speed // time to the first event without prefill
	Token      Speed // prefill time of a token
	Generation Speed // time of a token of the largest possible answer
}

// ModelSpeeds is the speed of each model.
type ModelSpeeds map[ident.ModelID]ModelSpeed

// MergeSpeeds returns the speeds that several routers have learned together. It answers
// a fleet in which each router gets about a request a second: alone it would not know
// for most of a day how long the largest model reads a long prompt. Of each speed it
// takes the median, weighted by samples, since a router with few requests may have met
// a queue with all of them.
func MergeSpeeds(reports []ModelSpeeds) ModelSpeeds {
	merged := ModelSpeeds{}
	for _, r := range reports {
		for model := range r {
			if _, done := merged[model]; done {
				continue
			}
			merged[model] = ModelSpeed{
				Base:       medianSpeed(reports, model, func(s ModelSpeed) Speed { return s.Base }),
				Token:      medianSpeed(reports, model, func(s ModelSpeed) Speed { return s.Token }),
				Generation: medianSpeed(reports, model, func(s ModelSpeed) Speed { return s.Generation }),
			}
		}
	}
	return merged
}

// medianSpeed returns the weighted median of one speed of a model, with all samples.
func medianSpeed(reports []ModelSpeeds, model ident.ModelID, of func(ModelSpeed) Speed) Speed {
	var list []Speed
	total := 0.0
	for _, r := range reports {
		if s := of(r[model]); s.Samples > 0 {
			list = append(list, s)
			total += s.Samples
		}
	}
	slices.SortFunc(list, func(a, b Speed) int { return cmp.Compare(a.Seconds, b.Seconds) })
	below := 0.0
	for _, s := range list {
		if below += s.Samples; below >= total/2 {
			return Speed{Seconds: s.Seconds, Samples: total}
		}
	}
	return Speed{}
}

// Speeds returns what this router has measured itself.
func (e *Estimator) Speeds() ModelSpeeds {
	e.lock.Lock()
	defer e.lock.Unlock()
	speeds := make(ModelSpeeds, len(e.models))
	for model, s := range e.models {
		speeds[model] = ModelSpeed{Base: s.base.speed(), Token: s.token.speed(), Generation: s.generation.speed()}
	}
	return speeds
}

// SetFleetSpeeds records what all routers have measured together.
func (e *Estimator) SetFleetSpeeds(speeds ModelSpeeds) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for model, s := range speeds {
		own := e.speed(model)
		own.base.fleet, own.token.fleet, own.generation.fleet = s.Base, s.Token, s.Generation
	}
}

// speed returns the quantile with the number of measurements that it is taken over.
func (w *quantileWindow) speed() Speed {
	return Speed{Seconds: w.own, Samples: float64(min(w.count, quantileWindowSize))}
}

// value returns the quantile in seconds: this router's own and that of all routers,
// weighted by their measurements, or the default if there are none.
func (w *quantileWindow) value() float64 {
	own, fleet := float64(min(w.count, quantileWindowSize)), min(w.fleet.Samples, quantileWindowSize)
	if own+fleet == 0 {
		return w.initial
	}
	return (w.own*own + w.fleet.Seconds*fleet) / (own + fleet)
}
