package proxy

import "time"

const (
	// escalationCost is the fixed cost of querying a larger model, relative to
	// the value of a good answer.
	escalationCost = 0.1
	// displacedCost is the cost to other requests of each mean objective's length of
	// the engine's time. Behind a queue each request in it is delayed, so that
	// congestedCost is added in full once the queueing delay reaches congestedWait, a
	// fraction of the mean objective. It grows with the square of the delay: in a short
	// queue few requests become late.
	displacedCost = 1.2
	congestedCost = 4.0
	congestedWait = 0.3
	// queueCost is the cost of each mean objective's length of queueing delay, for
	// models whose service time is not known yet.
	queueCost = 0.25
	// lateAnswerValue is the fraction of its value that a late answer keeps.
	lateAnswerValue = 0.4
	// escalationReserve is the fraction of the retry budget that escalations
	// leave to failed requests: an uncertain answer is better than none.
	escalationReserve = 0.1
	// latenessOnset is the fraction of the objective beyond which an answer that
	// is predicted in time may be late; half of those predicted to arrive at the
	// end of the objective are.
	latenessOnset = 0.5
	// incompletionOnset is the fraction of the remaining time beyond which an
	// answer that is predicted to end in time may not.
	incompletionOnset = 0.6
)

// EscalationFactors are the inputs of the decision to discard a smaller model's
// answer for a larger model's.
type EscalationFactors struct {
	Confidence      int           // of the answer, from 0 to 100; negative if unknown
	Elapsed         time.Duration // since the request arrived
	NextLatency     time.Duration // predicted time to the larger model's first event, 0 if unknown
	NextServiceTime time.Duration // part of NextLatency spent processing, without queueing
	NextGeneration  time.Duration // predicted time from its first event to its last
	Objective       time.Duration // time to the first event that earns the full value
	MeanObjective   time.Duration // over the requests that share the engines, 0 if unknown
	Remaining       time.Duration // until the deadline
	Worth           float64       // of the answer against the mean of its route, 0 if unknown
}

// ShouldEscalate reports whether to discard the answer and query the larger model.
// The longer the larger model's queue, the lower the confidence at which an
// answer is still forwarded, so that escalations do not overload that model.
func (f EscalationFactors) ShouldEscalate() bool {
	if f.Confidence < 0 || f.NextLatency+f.NextGeneration >= f.Remaining {
		return false
	}
	return float64(f.Confidence)/100 < f.expectedValue()*f.completionProbability()-f.cost()
}

// expectedValue returns the expected fraction of its value that the larger
// model's answer earns, given that it may be late.
func (f EscalationFactors) expectedValue() float64 {
	if f.Objective <= 0 {
		return 1
	}
	at := float64(f.Elapsed+f.NextLatency) / float64(f.Objective)
	inTime := 1.0
	switch {
	case at >= 1+latenessOnset:
		inTime = 0
	case at > latenessOnset:
		inTime = 1 - (at - latenessOnset)
	}
	return inTime + (1-inTime)*lateAnswerValue
}

// completionProbability returns the probability that the larger model's answer
// ends before the deadline.
func (f EscalationFactors) completionProbability() float64 {
	fraction := float64(f.NextLatency+f.NextGeneration) / float64(f.Remaining)
	if fraction <= incompletionOnset {
		return 1
	}
	return (1 - fraction) / (1 - incompletionOnset)
}

// cost returns the cost of the escalation relative to the value of a good answer. The
// engine's time that a long prompt takes stands against what its answer is worth. It is
// taken from all requests that share the engines, so that it is measured by their mean
// objective: a request with a short one does not displace more than others.
func (f EscalationFactors) cost() float64 {
	mean := f.MeanObjective
	if mean <= 0 {
		mean = f.Objective
	}
	if mean <= 0 {
		return escalationCost
	}
	wait := float64(f.NextLatency-f.NextServiceTime) / float64(mean)
	congestion := min(1, max(0, wait/congestedWait))
	worth := f.Worth
	if worth <= 0 {
		worth = 1
	}
	work := float64(f.NextServiceTime) / float64(mean)
	return escalationCost + queueCost*max(0, wait) + (displacedCost+congestedCost*congestion*congestion)*work/worth
}
