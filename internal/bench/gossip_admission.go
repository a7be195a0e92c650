package bench

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/admit"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
)

const (
	gossipSmallFleet  = 8 // routers
	gossipLoss        = 0.1
	gossipSpreadLimit = time.Second // until an urgent item has reached all routers
	goodputBound      = 0.9         // share of the peak
	smallTeamBound    = 0.9         // share of the small teams' requests
	policyGate        = "gate"
	gossipMethod      = "random, fanout 6"
)

// benchGossip compares methods of spreading an urgent item, in a message-level
// simulation.
func benchGossip(seed uint64) (Section, error) {
	s := Section{
		Name:        "gossip",
		Description: "one urgent item through a fleet by method and loss, 60 trials each, 5 ms a hop",
		Columns:     []string{"routers", "method", "loss", "reached", "messages", "most of one", "p50 ms", "slowest ms", "steady bytes/s"},
	}
	var rows []gossip.SpreadResult
	for _, r := range gossip.SimulateSpread(seed) {
		if (r.Routers != TargetFleet.Routers && r.Routers != gossipSmallFleet) || (r.Loss != 0 && r.Loss != gossipLoss) {
			continue
		}
		rows = append(rows, r)
		s.Rows = append(s.Rows, []string{
			fmt.Sprint(r.Routers), r.Method, formatNumber(r.Loss), formatNumber(r.MeanReached), formatNumber(r.Messages),
			fmt.Sprint(r.MaxMessages), formatMillis(r.Median), formatMillis(r.Slowest), formatNumber(r.HeartbeatBytes),
		})
		if r.Routers == TargetFleet.Routers && r.Method == gossipMethod {
			s.Bounds = append(s.Bounds,
				atMost(fmt.Sprintf("slowest spread at %d routers, loss %g", r.Routers, r.Loss), r.Slowest.Seconds(), gossipSpreadLimit.Seconds(), "s"),
				atMost(fmt.Sprintf("heartbeats at %d routers, loss %g", r.Routers, r.Loss), r.HeartbeatBytes, maxControlBytes, "bytes/s"))
		}
	}
	s.Data = rows
	return s, nil
}

// benchAdmit offers up to twice the capacity, with and without the admission gate.
func benchAdmit(seed uint64) (Section, error) {
	rows := admit.Simulate(seed)
	s := Section{
		Name:        "admit",
		Description: "overload: 8 small teams and 2 large ones that make the excess, with the gate and without",
		Columns:     []string{"policy", "load", "goodput/s", "of peak work", "small teams", "large teams", "quick"},
		Data:        rows,
	}
	for _, r := range rows {
		load := formatNumber(float64(r.Load))
		s.Rows = append(s.Rows, []string{
			r.Policy, load, formatNumber(r.Goodput), formatNumber(float64(r.RelativeWork)),
			formatNumber(float64(r.SmallTeams)), formatNumber(float64(r.LargeTeams)), formatNumber(float64(r.ShortAnswers)),
		})
		if r.Policy == policyGate && r.Load > 1 {
			s.Bounds = append(s.Bounds,
				atLeast("goodput at load "+load, float64(r.RelativeWork), goodputBound, "of the peak"),
				atLeast("small teams' answers in time at load "+load, float64(r.SmallTeams), smallTeamBound, "of their requests"))
		}
	}
	return s, nil
}
