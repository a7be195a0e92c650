package pass

import "time"

const (
	// askingPrice is what a larger model's answer costs, as a part of what a
	// good answer is worth.
	askingPrice = 0.2
	// crowdPrice is what the work costs the requests that wait behind it, for
	// each objective's length of waiting that is foreseen.
	crowdPrice = 1.0
	// workPrice is what the work itself costs, for each objective's length of
	// it, once others wait as long as busyWait, a part of the objective.
	workPrice = 1.0
	busyWait  = 0.1
	// lateValue is the part of its worth that a late answer keeps.
	lateValue = 0.4
	// askingReserve is the part of the budget that asking a larger model leaves
	// for requests that fail: a doubtful answer is better than none.
	askingReserve = 0.1
	// doubtFrom is the part of the objective from which an answer that is
	// foreseen in time may come late, as half of those foreseen at its end do.
	doubtFrom = 0.5
	// wholeFrom is the part of the time left from which an answer that is
	// foreseen to end in it may not.
	wholeFrom = 0.6
)

// Doubt is what is known when a smaller model has answered.
type EscalationFactors struct {
	Confidence      int           // of the answer, from 0 to 100; negative if not told
	Elapsed         time.Duration // since the request came
	NextLatency     time.Duration // foreseen to the larger model's first event, 0 if unknown
	NextServiceTime time.Duration // of Next, the larger model's own work
	NextGeneration  time.Duration // foreseen from its first event to its last
	Objective       time.Duration
	Remaining       time.Duration // until the final answer is due
}

// Asks tells whether a larger model is asked in place of an answer that is at
// hand. It answers the pattern of a load that the larger model cannot bear: the
// longer its requests wait, the less sure an answer has to be to be passed on.
func (d EscalationFactors) ShouldEscalate() bool {
	if d.Confidence < 0 || d.NextLatency+d.NextGeneration >= d.Remaining {
		return false
	}
	return float64(d.Confidence)/100 < d.value()*d.whole()-d.price()
}

// value is the part of its worth that the larger model's answer will earn.
func (d EscalationFactors) value() float64 {
	if d.Objective <= 0 {
		return 1
	}
	at := float64(d.Elapsed+d.NextLatency) / float64(d.Objective)
	inTime := 1.0
	switch {
	case at >= 1+doubtFrom:
		inTime = 0
	case at > doubtFrom:
		inTime = 1 - (at - doubtFrom)
	}
	return inTime + (1-inTime)*lateValue
}

// whole is the chance that the larger model's answer ends in the time left.
func (d EscalationFactors) whole() float64 {
	part := float64(d.NextLatency+d.NextGeneration) / float64(d.Remaining)
	if part <= wholeFrom {
		return 1
	}
	return (1 - part) / (1 - wholeFrom)
}

func (d EscalationFactors) price() float64 {
	if d.Objective <= 0 {
		return askingPrice
	}
	objective := float64(d.Objective)
	busy := min(1, max(0, float64(d.NextLatency-d.NextServiceTime)/objective/busyWait))
	return askingPrice + crowdPrice*float64(d.NextLatency)/objective + workPrice*busy*float64(d.NextServiceTime)/objective
}
