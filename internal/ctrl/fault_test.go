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

// TestRandomFaults joins routers through faults in random order, checks what
// must always hold at each step, and that all agree once the faults are over.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster("a1", "a2", "b1")
		w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
		for i := range rapid.IntRange(5, 25).Draw(t, "faults") {
			injectFault(t, w, i)
			w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tickInterval)
			if len(w.violations) > 0 {
				t.Fatalf("%s", strings.Join(w.violations, "; "))
			}
		}
		clearFaults(w)
		w.advance(30 * time.Second)
		checkConvergence(t, w)
	})
}

// disturb draws one fault, the end of one, or a change.
func injectFault(t *rapid.T, w *cluster, i int) {
	n := running(w)[rapid.IntRange(0, len(running(w))-1).Draw(t, "router")]
	other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{
		"cut", "cut", "apart", "down", "lose", "stale", "freeze", "double",
		"replace", "publish", "publish", "withdraw", "ask", "ask", "ask", "cold", "stop",
	}).Draw(t, "fault") {
	case "cut":
		w.cutLinks[[2]ident.RouterID{n.id, other.id}] = on
	case "apart":
		n.platformCut = on
	case "down":
		w.store.down = on
	case "lose":
		w.store.loseReplies = on
	case "stale":
		w.store.staleGenerations = rapid.IntRange(0, 1).Draw(t, "stale")
	case "freeze":
		if n.frozen = on; !on {
			w.unfreeze(n)
		}
	case "double":
		w.duplicate = on
	case "replace":
		n.dead = true
		w.startNode(ident.RouterID(fmt.Sprintf("%c%d", n.id[0], 100+i)))
	case "publish":
		w.publish(func(*fleet.Config) {})
	case "withdraw":
		if n.view != nil {
			w.handle(n, ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: candidate, By: "test", At: w.now}})
		}
	case "ask":
		w.handle(n, ctrl.RequestPermit{Zone: "a", Request: permit.Asked{Router: n.id, Attempt: ident.AttemptID(fmt.Sprint("q", i)), Endpoint: "e1"}})
	case "cold":
		w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: fmt.Sprint(i), Warm: on}}
	case "stop":
		w.handle(n, ctrl.Stop{})
	}
}

func running(w *cluster) []*node {
	var found []*node
	for _, n := range w.nodes {
		if !n.dead {
			found = append(found, n)
		}
	}
	return found
}

func clearFaults(w *cluster) {
	clear(w.cutLinks)
	w.store.down, w.store.loseReplies, w.store.staleGenerations = false, false, 0
	w.duplicate = false
	for _, n := range running(w) {
		n.platformCut = false
		w.unfreeze(n)
	}
}

func checkConvergence(t *rapid.T, w *cluster) {
	if len(w.violations) > 0 {
		t.Fatalf("%s", strings.Join(w.violations, "; "))
	}
	withdrawn := false
	for _, n := range running(w) {
		withdrawn = withdrawn || len(n.view.Withdrawn) > 0
	}
	if stored := len(w.store.withdrawn.List) > 0; stored != withdrawn {
		t.Fatalf("platform has the withdrawal: %t, a router: %t", stored, withdrawn)
	}
	for _, n := range running(w) {
		switch {
		case n.view.Config.Generation != w.head():
			t.Fatalf("router %s is at generation %d of %d", n.id, n.view.Config.Generation, w.head())
		case withdrawn && n.view.Allowed(candidate):
			t.Fatalf("router %s does not know of the withdrawal", n.id)
		case !n.view.Stopping && !w.ready(n):
			t.Fatalf("router %s does not serve though all is well", n.id)
		}
	}
}
