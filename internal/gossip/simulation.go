package gossip

import (
	"slices"
	"time"
)

// SpreadResult is the simulated performance of one method of spreading an urgent
// message in a fleet of one size under one rate of message loss.
type SpreadResult struct {
	Routers        int           `json:"routers"`
	Method         string        `json:"method"`
	Loss           float64       `json:"loss"`
	MeanReached    float64       `json:"reached"`  // mean share of routers reached by forwarding, before anti-entropy
	CompleteShare  float64       `json:"whole"`    // share of trials in which forwarding reached all routers
	Messages       float64       `json:"messages"` // sent, per router
	MaxMessages    int           `json:"most"`     // most messages sent and received by one router in one trial
	Bytes          float64       `json:"bytes"`    // sent and received, per router
	Median         time.Duration `json:"median"`   // time until all routers are reached, anti-entropy included
	Slowest        time.Duration `json:"slowest"`  // the slowest trial
	HeartbeatBytes float64       `json:"steady"`   // per second, of the busiest router's heartbeats
}

// The sizes in bytes of the gRPC, TCP and IP overhead of each message, of an
// urgent message and of the parts of a heartbeat.
const (
	overheadBytes = 90
	urgentBytes   = 300
	digestBytes   = 40 // generation, confirmation and digests
	ageEntryBytes = 5  // the hash of a router's id and the age of its last heartbeat
	counterBytes  = 250
)

// maxAgeEntries is the number of routers whose age a heartbeat carries: those most
// recently known to be alive.
const maxAgeEntries = 60

// hopLatency is the time from sending a message until it is processed.
const hopLatency = 5 * time.Millisecond

// spreadTrialCount is the number of trials for each result.
const spreadTrialCount = 60

// SimulateSpread compares methods of spreading an urgent message, over fleet
// sizes and rates of message loss.
func SimulateSpread(seed uint64) []SpreadResult {
	strategies := []strategy{
		flood{},
		allPairs{},
		zoneRelays{},
		randomFanout{2},
		randomFanout{3},
		randomFanout{4},
		randomFanout{6},
		tree{1},
		tree{2},
		tree{3},
	}
	var rows []SpreadResult
	for _, size := range fleetSizes() {
		for _, loss := range []float64{0, 0.05, 0.1, 0.2} {
			for _, method := range strategies {
				rows = append(rows, simulateSpread(seed, size, method, loss))
			}
		}
	}
	return rows
}

// fleetSize is the number of routers and availability zones of a fleet.
type fleetSize struct{ routers, zones int }

func fleetSizes() []fleetSize {
	return []fleetSize{{8, 3}, {24, 4}, {90, 6}, {360, 17}}
}

func simulateSpread(seed uint64, f fleetSize, method strategy, loss float64) SpreadResult {
	row := SpreadResult{Routers: f.routers, Method: method.name(), Loss: loss, HeartbeatBytes: heartbeatBytes(method, f)}
	var times []time.Duration
	each := 1.0 / spreadTrialCount
	for i := range spreadTrialCount {
		b := newBroadcast(seed+uint64(i), f.routers, f.zones, loss)
		b.run(method)
		reached := 0
		for _, informed := range b.informed {
			if informed {
				reached++
			}
		}
		row.MeanReached += each * float64(reached) / float64(f.routers)
		if reached == f.routers {
			row.CompleteShare += each
		}
		rounds := b.antiEntropy()
		times = append(times, time.Duration(b.hops)*hopLatency+time.Duration(rounds)*Interval(f.routers))
		sent, received := 0, 0
		for r := range b.sent {
			sent += b.sent[r]
			received += b.received[r]
			row.MaxMessages = max(row.MaxMessages, b.sent[r]+b.received[r])
		}
		row.Messages += each * float64(sent) / float64(f.routers)
		row.Bytes += each * float64(sent+received) / float64(f.routers) * (overheadBytes + urgentBytes)
	}
	slices.Sort(times)
	row.Median, row.Slowest = times[len(times)/2], times[len(times)-1]
	return row
}

// HeartbeatBytes returns the bytes per second that a router sends and receives as
// heartbeats, if every router sends them to its Targets.
func HeartbeatBytes(routers int) float64 {
	if routers <= maxAllPairsRouters {
		return heartbeatBytes(allPairs{}, fleetSize{routers: routers})
	}
	return heartbeatBytes(randomFanout{}, fleetSize{routers: routers})
}

// heartbeatBytes returns the bytes per second that the busiest router sends and
// receives as heartbeats, if they take the same paths as urgent messages.
func heartbeatBytes(method strategy, f fleetSize) float64 {
	full := float64(overheadBytes + digestBytes + counterBytes)
	switch method.(type) {
	case allPairs, flood:
		return 2 * float64(f.routers-1) * full
	case zoneRelays:
		members := float64(f.routers) / float64(f.zones)
		table := full + ageEntryBytes*float64(f.routers)
		// A relay receives the heartbeat of each member of its zone, sends it the
		// ages of all routers, and exchanges its zone's part with the relays of the
		// other zones.
		return members*(full+table) + 2*2*float64(f.zones-1)*(full+ageEntryBytes*members)
	default:
		return 2 * float64(time.Second) / float64(gossipInterval) * (full + ageEntryBytes*float64(min(maxAgeEntries, f.routers)))
	}
}

// AgeResult is how old a router's information on other routers becomes in a fleet
// that sends heartbeats to random peers, each with the ages of the routers most
// recently known to be alive.
type AgeResult struct {
	Routers int           `json:"routers"`
	Loss    float64       `json:"loss"`
	Median  time.Duration `json:"median"`
	Max     time.Duration `json:"most"` // over all pairs of routers and all rounds
}

// SimulateAges returns how old the information on live routers becomes in fleets
// of several sizes. PeerTimeout must exceed it.
func SimulateAges(seed uint64, loss float64) []AgeResult {
	var rows []AgeResult
	for _, f := range fleetSizes() {
		if f.routers > maxAllPairsRouters {
			rows = append(rows, simulateAges(seed, f, loss))
		}
	}
	return rows
}

// The rounds of a simulation of ages: until the ages are steady, and in total.
const (
	ageWarmupRounds = 100
	ageRounds       = 250
)

func simulateAges(seed uint64, f fleetSize, loss float64) AgeResult {
	b := newBroadcast(seed, f.routers, f.zones, loss)
	lastAlive := make([][]int, f.routers) // by router i, the latest round in which router j is known to have been alive
	for i := range lastAlive {
		lastAlive[i] = make([]int, f.routers)
	}
	maxAge := 0
	var all []int
	for round := range ageRounds {
		for i := range lastAlive {
			lastAlive[i][i] = round
		}
		for i := range lastAlive {
			to := b.randomPeers(i, 1)[0]
			if b.random.uniform() >= loss {
				mergeNewest(lastAlive[i], lastAlive[to])
			}
		}
		if round < ageWarmupRounds {
			continue
		}
		for i := range lastAlive {
			for j := range lastAlive[i] {
				if i != j {
					maxAge = max(maxAge, round-lastAlive[i][j])
				}
			}
		}
		all = append(all, round-lastAlive[0][1+round%(f.routers-1)])
	}
	slices.Sort(all)
	return AgeResult{
		Routers: f.routers, Loss: loss,
		Median: time.Duration(all[len(all)/2]) * gossipInterval,
		Max:    time.Duration(maxAge) * gossipInterval,
	}
}

// mergeNewest merges the maxAgeEntries newest rounds of from into to.
func mergeNewest(from, to []int) {
	// Each key is the round times the number of routers plus the router's index,
	// so that sorting integers orders the routers by round.
	keys := make([]int, len(from))
	for i, round := range from {
		keys[i] = round*len(from) + i
	}
	slices.Sort(keys)
	for _, key := range keys[max(0, len(keys)-maxAgeEntries):] {
		i := key % len(from)
		to[i] = max(to[i], from[i])
	}
}
