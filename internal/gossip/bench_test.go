package gossip_test

import (
	"fmt"
	"testing"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func newRouters(n int) []fleet.Router {
	list := make([]fleet.Router, n)
	for i := range list {
		list[i] = fleet.Router{ID: ident.RouterID(fmt.Sprintf("r%03d", i))}
	}
	return list
}

func BenchmarkTargets(b *testing.B) {
	list := newRouters(360)
	b.ReportAllocs()
	for i := range b.N {
		gossip.Targets(uint64(i), "r000", list, gossip.KindUrgent)
	}
}

// BenchmarkSimulateSpread prints the results of the simulations.
func BenchmarkSimulateSpread(b *testing.B) {
	for b.Loop() {
		for _, r := range gossip.SimulateSpread(1) {
			fmt.Printf("%3d routers, loss %.2f, %-21s reached %.3f complete %.2f messages %5.1f max %3d bytes %6.0f median %s, slowest %s; heartbeats %.0f B/s\n",
				r.Routers, r.Loss, r.Method, r.MeanReached, r.CompleteShare, r.Messages, r.MaxMessages, r.Bytes, r.Median, r.Slowest, r.HeartbeatBytes)
		}
		for _, r := range append(append(gossip.SimulateAges(1, 0), gossip.SimulateAges(1, 0.1)...), gossip.SimulateAges(1, 0.2)...) {
			fmt.Printf("%3d routers, loss %.2f, age of information on a live router: median %s, max %s\n", r.Routers, r.Loss, r.Median, r.Max)
		}
	}
}
