package casc

import "github.com/marigoldscale/marigoldscale/pkg/ident"

// Row is one measured line: what a policy costs and reaches in a condition.
type Measurement struct {
	Condition         string        `json:"condition"`
	Policy            string        `json:"policy"`
	Cost              float64       `json:"cost"` // of the cost of always using the best model
	Quality           ident.Quality `json:"quality"`
	WorstClassQuality ident.Quality `json:"worst"`    // of the class that fared worst
	LateCost          float64       `json:"latecost"` // the same for the second half of the requests
	LateQuality       ident.Quality `json:"late"`
	Target            ident.Quality `json:"target"`
}

// Measure compares the policies over a long run of requests.
func MeasurePolicies(seed uint64) []Measurement {
	return ComparePolicies(seed, trialRequests)
}

// Compare runs the policies in several conditions on the same requests.
// Hindsight is the least that a choice of one model per request can cost at the
// target in each class, knowing every answer beforehand.
func ComparePolicies(seed uint64, requests int) []Measurement {
	conditions := []condition{
		{name: "steady"},
		{name: "rater slow, 30% too late", silent: 0.3},
		{name: "rater down in the middle third", down: true},
		{name: "cheap model falls in one class", drift: true},
		{name: "a class unseen before half-time", fresh: true},
	}
	var rows []Measurement
	for _, c := range conditions {
		best := newTrial(seed, requests, c, policyBest)
		best.run()
		for _, p := range [...]policy{policyBest, policyCheap, policySplit, policyCascade} {
			t := newTrial(seed, requests, c, p)
			t.run()
			rows = append(rows, t.row(best))
		}
		rows = append(rows, hindsight(seed, requests, c).row(best))
	}
	return rows
}

// hindsight finds, for each class, what quality must be worth for the perfect
// choice just to meet the target.
func hindsight(seed uint64, requests int, c condition) *trial {
	prices := map[ident.ClassID]float64{}
	for _, k := range classes() {
		low, high := 0.0, 100_000.0
		for range 16 {
			prices[k.id] = (low + high) / 2
			t := newTrial(seed, requests, c, policyPerfect)
			t.prices = prices
			t.run()
			if q := t.classes[k.id]; q.quality/q.requests < trialTarget {
				low = prices[k.id]
			} else {
				high = prices[k.id]
			}
		}
		prices[k.id] = high
	}
	found := newTrial(seed, requests, c, policyPerfect)
	found.prices = prices
	found.run()
	return found
}

// worst gives the mean quality of the class that fared worst.
func (t *trial) worst() float64 {
	worst := 1.0
	for _, q := range t.classes {
		worst = min(worst, q.quality/q.requests)
	}
	return worst
}

func (t *trial) row(best *trial) Measurement {
	return Measurement{
		Condition:         t.name,
		Policy:            string(t.policy),
		Cost:              t.cost / best.cost,
		Quality:           ident.Quality(t.all.quality / t.all.requests),
		WorstClassQuality: ident.Quality(t.worst()),
		LateCost:          t.late.cost / best.late.cost,
		LateQuality:       ident.Quality(t.late.quality / t.late.requests),
		Target:            trialTarget,
	}
}
