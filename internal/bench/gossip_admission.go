package bench

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/admit"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
)

const (
	gossipSmall  = 8 // routers, today
	gossipLoss   = 0.1
	gossipBound  = time.Second // until urgent news has reached all
	goodputBound = 0.9         // of the peak, of the issue
	smallBound   = 0.9         // of the small teams' requests
	policyGate   = "gate"
	gossipChosen = "random, fanout 6"
)

// benchGossip compares ways to spread urgent news, by a model of messages.
func benchGossip(seed uint64) (Section, error) {
	s := Section{
		Name:    "gossip",
		About:   "one urgent item through a fleet by method and loss, 60 trials each, 5 ms a hop",
		Columns: []string{"routers", "method", "loss", "reached", "messages", "most of one", "p50 ms", "slowest ms", "steady bytes/s"},
	}
	var rows []gossip.SpreadResult
	for _, r := range gossip.SimulateSpread(seed) {
		if (r.Routers != Letter.Routers && r.Routers != gossipSmall) || (r.Loss != 0 && r.Loss != gossipLoss) {
			continue
		}
		rows = append(rows, r)
		s.Rows = append(s.Rows, []string{
			fmt.Sprint(r.Routers), r.Method, number(r.Loss), number(r.MeanReached), number(r.Messages),
			fmt.Sprint(r.MaxMessages), millis(r.Median), millis(r.Slowest), number(r.HeartbeatBytes),
		})
		if r.Routers == Letter.Routers && r.Method == gossipChosen {
			s.Bounds = append(s.Bounds,
				atMost(fmt.Sprintf("slowest spread at %d routers, loss %g", r.Routers, r.Loss), r.Slowest.Seconds(), gossipBound.Seconds(), "s"),
				atMost(fmt.Sprintf("heartbeats at %d routers, loss %g", r.Routers, r.Loss), r.HeartbeatBytes, letterBytes, "bytes/s"))
		}
	}
	s.Data = rows
	return s, nil
}

// benchAdmit offers up to twice the capacity to the gate and without one.
func benchAdmit(seed uint64) (Section, error) {
	rows := admit.Simulate(seed)
	s := Section{
		Name:    "admit",
		About:   "overload: 8 small teams and 2 large ones that make the excess, with the gate and without",
		Columns: []string{"policy", "load", "goodput/s", "of peak work", "small teams", "large teams", "quick"},
		Data:    rows,
	}
	for _, r := range rows {
		load := number(float64(r.Load))
		s.Rows = append(s.Rows, []string{
			r.Policy, load, number(r.Goodput), number(float64(r.RelativeWork)),
			number(float64(r.SmallTeams)), number(float64(r.LargeTeams)), number(float64(r.ShortAnswers)),
		})
		if r.Policy == policyGate && r.Load > 1 {
			s.Bounds = append(s.Bounds,
				atLeast("goodput at load "+load, float64(r.RelativeWork), goodputBound, "of the peak"),
				atLeast("small teams' answers in time at load "+load, float64(r.SmallTeams), smallBound, "of their requests"))
		}
	}
	return s, nil
}
