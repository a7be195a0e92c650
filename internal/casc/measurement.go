package casc

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// Measurement is the cost and quality of a policy in one condition.
type Measurement struct {
	Condition         string        `json:"condition"`
	Policy            string        `json:"policy"`
	Cost              float64       `json:"cost"` // as a share of the cost of always using the best model
	Quality           ident.Quality `json:"quality"`
	WorstClassQuality ident.Quality `json:"worst"`    // mean quality of the class with the lowest one
	LateCost          float64       `json:"latecost"` // Cost for the second half of the requests
	LateQuality       ident.Quality `json:"late"`
	Target            ident.Quality `json:"target"`
}

// MeasurePolicies compares the policies over a long run of requests.
func MeasurePolicies(seed uint64) []Measurement {
	return ComparePolicies(seed, simulatedRequests)
}

// ComparePolicies simulates the policies in several conditions on the same
// requests. The hindsight policy is the lower bound: the least cost of choosing
// one model per request with all answers known in advance, at the target quality
// in each class.
func ComparePolicies(seed uint64, requests int) []Measurement {
	conditions := []condition{
		{name: "steady"},
		{name: "rater slow, 30% too late", lateRatings: 0.3},
		{name: "rater down in the middle third", raterDown: true},
		{name: "cheap model falls in one class", drift: true},
		{name: "a class unseen before half-time", newClass: true},
	}
	var rows []Measurement
	for _, c := range conditions {
		best := newSimulation(seed, requests, c, policyBest)
		best.run()
		for _, p := range [...]policy{policyBest, policyCheap, policySplit, policyCascade} {
			t := newSimulation(seed, requests, c, p)
			t.run()
			rows = append(rows, t.measurement(best))
		}
		rows = append(rows, runHindsight(seed, requests, c).measurement(best))
	}
	return rows
}

// runHindsight runs the hindsight policy. For each class it finds by bisection
// the price of quality at which the best choice just meets the target.
func runHindsight(seed uint64, requests int, c condition) *simulation {
	prices := map[ident.ClassID]float64{}
	for _, k := range classes() {
		low, high := 0.0, 100_000.0
		for range 16 {
			prices[k.id] = (low + high) / 2
			t := newSimulation(seed, requests, c, policyHindsight)
			t.qualityPrices = prices
			t.run()
			if q := t.classes[k.id]; q.quality/q.requests < simulatedTarget {
				low = prices[k.id]
			} else {
				high = prices[k.id]
			}
		}
		prices[k.id] = high
	}
	found := newSimulation(seed, requests, c, policyHindsight)
	found.qualityPrices = prices
	found.run()
	return found
}

// worstClassQuality returns the lowest mean quality of any class.
func (t *simulation) worstClassQuality() float64 {
	worst := 1.0
	for _, q := range t.classes {
		worst = min(worst, q.quality/q.requests)
	}
	return worst
}

func (t *simulation) measurement(best *simulation) Measurement {
	return Measurement{
		Condition:         t.name,
		Policy:            string(t.policy),
		Cost:              t.cost / best.cost,
		Quality:           ident.Quality(t.all.quality / t.all.requests),
		WorstClassQuality: ident.Quality(t.worstClassQuality()),
		LateCost:          t.secondHalf.cost / best.secondHalf.cost,
		LateQuality:       ident.Quality(t.secondHalf.quality / t.secondHalf.requests),
		Target:            simulatedTarget,
	}
}
