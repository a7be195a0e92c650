package ctrl_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// TestRandomFaults injects faults in random order into a simulated cluster,
// checks the invariants after each step, and checks that the routers converge
// once the faults are cleared.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster("a1", "a2", "b1")
		cl.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
		for i := range rapid.IntRange(5, 25).Draw(t, "faults") {
			injectFault(t, cl, i)
			cl.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tickInterval)
			if len(cl.violations) > 0 {
				t.Fatalf("%s", strings.Join(cl.violations, "; "))
			}
		}
		clearFaults(cl)
		cl.advance(30 * time.Second)
		checkConvergence(t, cl)
	})
}

// injectFault draws a fault to start or end, or an operation.
func injectFault(t *rapid.T, cl *cluster, i int) {
	n := running(cl)[rapid.IntRange(0, len(running(cl))-1).Draw(t, "router")]
	other := cl.nodes[rapid.IntRange(0, len(cl.nodes)-1).Draw(t, "other")]
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{
		"cut", "cut", "apart", "down", "lose", "stale", "freeze", "double",
		"replace", "publish", "publish", "withdraw", "ask", "ask", "ask", "cold", "stop",
	}).Draw(t, "fault") {
	case "cut":
		cl.cutLinks[[2]ident.RouterID{n.id, other.id}] = on
	case "apart":
		n.platformCut = on
	case "down":
		cl.store.down = on
	case "lose":
		cl.store.loseReplies = on
	case "stale":
		cl.store.staleGenerations = rapid.IntRange(0, 1).Draw(t, "stale")
	case "freeze":
		if n.frozen = on; !on {
			cl.unfreeze(n)
		}
	case "double":
		cl.duplicate = on
	case "replace":
		n.dead = true
		cl.startNode(ident.RouterID(fmt.Sprintf("%c%d", n.id[0], 100+i)))
	case "publish":
		cl.publish(func(*fleet.Config) {})
	case "withdraw":
		if n.view != nil {
			cl.handle(n, ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: candidate, By: "test", At: cl.now}})
		}
	case "ask":
		cl.handle(n, ctrl.RequestPermit{Zone: "a", Request: permit.Request{Router: n.id, Attempt: ident.AttemptID(fmt.Sprint("q", i)), Endpoint: "e1"}})
	case "cold":
		cl.loads["e1"] = engine.Load{Report: fleet.Report{Boot: fmt.Sprint(i), Warm: on}}
	case "stop":
		cl.handle(n, ctrl.Stop{})
	}
}

func running(cl *cluster) []*node {
	var found []*node
	for _, n := range cl.nodes {
		if !n.dead {
			found = append(found, n)
		}
	}
	return found
}

func clearFaults(cl *cluster) {
	clear(cl.cutLinks)
	cl.store.down, cl.store.loseReplies, cl.store.staleGenerations = false, false, 0
	cl.duplicate = false
	for _, n := range running(cl) {
		n.platformCut = false
		cl.unfreeze(n)
	}
}

func checkConvergence(t *rapid.T, cl *cluster) {
	if len(cl.violations) > 0 {
		t.Fatalf("%s", strings.Join(cl.violations, "; "))
	}
	withdrawn := false
	for _, n := range running(cl) {
		withdrawn = withdrawn || len(n.view.Withdrawn) > 0
	}
	if stored := len(cl.store.withdrawn.List) > 0; stored != withdrawn {
		t.Fatalf("withdrawal stored in the platform: %t, known to a router: %t", stored, withdrawn)
	}
	for _, n := range running(cl) {
		switch {
		case n.view.Config.Generation != cl.head():
			t.Fatalf("router %s is at generation %d, want %d", n.id, n.view.Config.Generation, cl.head())
		case withdrawn && n.view.Allowed(candidate):
			t.Fatalf("router %s allows withdrawn release", n.id)
		case !n.view.Stopping && !cl.ready(n):
			t.Fatalf("router %s does not serve without faults", n.id)
		}
	}
}
