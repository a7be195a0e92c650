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
		w := newWorld("a1", "a2", "b1")
		w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: "1"}}
		for i := range rapid.IntRange(5, 25).Draw(t, "faults") {
			disturb(t, w, i)
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * step)
			if len(w.fails) > 0 {
				t.Fatalf("%s", strings.Join(w.fails, "; "))
			}
		}
		heal(w)
		w.run(30 * time.Second)
		checkAgreed(t, w)
	})
}

// disturb draws one fault, the end of one, or a change.
func disturb(t *rapid.T, w *world, i int) {
	n := living(w)[rapid.IntRange(0, len(living(w))-1).Draw(t, "router")]
	other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
	on := rapid.Bool().Draw(t, "on")
	switch rapid.SampledFrom([]string{
		"cut", "cut", "apart", "down", "lose", "stale", "freeze", "double",
		"replace", "publish", "publish", "withdraw", "ask", "ask", "ask", "cold", "stop",
	}).Draw(t, "fault") {
	case "cut":
		w.cut[[2]ident.RouterID{n.id, other.id}] = on
	case "apart":
		n.apart = on
	case "down":
		w.store.down = on
	case "lose":
		w.store.lose = on
	case "stale":
		w.store.stale = rapid.IntRange(0, 1).Draw(t, "stale")
	case "freeze":
		if n.frozen = on; !on {
			w.thaw(n)
		}
	case "double":
		w.doubled = on
	case "replace":
		n.dead = true
		w.begin(ident.RouterID(fmt.Sprintf("%c%d", n.id[0], 100+i)))
	case "publish":
		w.publish(func(*fleet.Config) {})
	case "withdraw":
		if n.view != nil {
			w.tell(n, ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: candidate, By: "test", At: w.now}})
		}
	case "ask":
		w.tell(n, ctrl.AskPermit{Zone: "a", Asked: permit.Request{Router: n.id, Attempt: ident.AttemptID(fmt.Sprint("q", i)), Endpoint: "e1"}})
	case "cold":
		w.loads["e1"] = engine.Load{Report: fleet.Report{Boot: fmt.Sprint(i), Warm: on}}
	case "stop":
		w.tell(n, ctrl.Stop{})
	}
}

func living(w *world) []*node {
	var found []*node
	for _, n := range w.nodes {
		if !n.dead {
			found = append(found, n)
		}
	}
	return found
}

func heal(w *world) {
	clear(w.cut)
	w.store.down, w.store.lose, w.store.stale = false, false, 0
	w.doubled = false
	for _, n := range living(w) {
		n.apart = false
		w.thaw(n)
	}
}

func checkAgreed(t *rapid.T, w *world) {
	if len(w.fails) > 0 {
		t.Fatalf("%s", strings.Join(w.fails, "; "))
	}
	withdrawn := false
	for _, n := range living(w) {
		withdrawn = withdrawn || len(n.view.Withdrawn) > 0
	}
	if stored := len(w.store.withdrawn.List) > 0; stored != withdrawn {
		t.Fatalf("platform has the withdrawal: %t, a router: %t", stored, withdrawn)
	}
	for _, n := range living(w) {
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
