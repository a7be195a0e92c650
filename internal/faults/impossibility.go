package faults

// impossibility gives the reason why faults cannot occur at some steps.
type impossibility struct {
	faults []Fault
	steps  []Step
	text   string
}

var (
	frameFaults    = []Fault{"frames-late", "frames-doubled", "frames-reordered"}
	endpointFaults = []Fault{"endpoint-cut", "endpoint-oneway", "endpoint-crashed", "endpoint-cold", "endpoint-slow", "endpoint-lies"}
	platformFaults = []Fault{"platform-cut", "platform-oneway", "platform-down", "platform-slow", "platform-lost", "platform-stale"}
	changeSteps    = []Step{"publish", "spread", "rollout", "withdraw", "zone-out", "zone-in", "handover", "stop"}
	requestSteps   = []Step{"admit", "claim", "choose", "dispatch", "first", "middle", "final", "rate", "bill", "reply"}
)

// impossibilities are searched in order; the first match applies. A cell with a
// proof does not use them.
var impossibilities = []impossibility{
	{frameFaults, []Step{"admit", "claim", "choose", "dispatch", "rate", "bill"}, "no frame is awaited at this step"},
	{frameFaults, changeSteps, "changes are not carried by an endpoint's frames"},
	{endpointFaults, []Step{"admit", "claim", "rate", "bill", "reply"}, "the step asks no endpoint"},
	{endpointFaults, []Step{"publish", "spread"}, "no endpoint takes part in configuration"},
	{platformFaults, []Step{"admit", "dispatch", "first", "middle", "final", "rate"}, "the step asks the platform nothing"},
	{[]Fault{"platform-lost", "platform-oneway"}, []Step{"choose"}, "the step writes nothing to the platform"},
	{[]Fault{"operators-race"}, requestSteps, "a request decides on one immutable view, on which operators' changes have no effect half-way"},
	{[]Fault{"endpoint-cut", "endpoint-oneway", "endpoint-slow", "endpoint-lies", "endpoint-crashed", "endpoint-cold"}, []Step{"rollout", "withdraw", "zone-out"}, "the change asks no endpoint; what comes of it on endpoints is the request's choose"},
	{[]Fault{"endpoint-cut", "endpoint-oneway", "endpoint-slow", "endpoint-lies", "endpoint-crashed"}, []Step{"zone-in"}, "the zone's endpoints are taken up one by one as they report; see choose"},
	{append([]Fault{"peer-slow"}, platformFaults...), []Step{"zone-out", "zone-in"}, "zones travel within the configuration; see publish and spread"},
	{[]Fault{"lease-lapsed"}, []Step{"zone-out", "zone-in"}, "the change needs no lease"},
	{[]Fault{"pool-out"}, []Step{"zone-in"}, "a zone that returns adds capacity"},
	{[]Fault{"list-lags"}, []Step{"handover"}, "stewards are ranked among the routers heard, not those listed"},
	{[]Fault{"list-lags"}, []Step{"rollout", "withdraw"}, "the change does not use the list of instances; silent peers get heartbeats all the same"},
	{[]Fault{"operators-race"}, []Step{"spread", "handover", "stop"}, "only one of two racing changes has won by then"},
	{[]Fault{"list-lags"}, []Step{"claim", "dispatch", "first", "middle", "final", "rate", "bill", "reply"}, "the step does not use the list of instances"},
	{[]Fault{"poison"}, []Step{"admit", "claim", "rate", "bill"}, "the body is not on an endpoint at this step"},
	{[]Fault{"poison"}, changeSteps, "no caller's body is run by a change"},
	{[]Fault{"caller-bad"}, changeSteps, "callers take no part in changes"},
	{[]Fault{"lease-lapsed"}, []Step{"admit", "claim", "rate", "bill", "reply"}, "the step needs no lease"},
	{[]Fault{"lease-lapsed"}, []Step{"publish", "spread", "rollout", "withdraw"}, "the change is guarded by a conditional write, not by a lease"},
	{[]Fault{"pool-out"}, []Step{"claim", "first", "middle", "final", "rate", "bill"}, "the step needs no further capacity"},
	{[]Fault{"pool-out"}, []Step{"publish", "spread", "rollout", "withdraw"}, "the change needs no endpoint"},
	{[]Fault{"version-bad"}, []Step{"admit", "claim", "bill"}, "no version is at work at this step"},
	{[]Fault{"version-bad"}, []Step{"publish", "spread", "zone-out", "zone-in", "handover", "stop"}, "the change does not depend on how versions behave"},
	{[]Fault{"peer-cut", "peer-slow", "peer-oneway"}, []Step{"admit", "dispatch", "first", "middle", "final", "rate", "reply"}, "the step asks no peer"},
}

// findReason returns the number, from 1, of the first impossibility that applies to
// a fault at a step, or 0 if there is none.
func findReason(f Fault, s Step) int {
	for i, r := range impossibilities {
		if contains(r.faults, f) && contains(r.steps, s) {
			return i + 1
		}
	}
	return 0
}

func contains[T comparable](list []T, wanted T) bool {
	for _, v := range list {
		if v == wanted {
			return true
		}
	}
	return false
}
