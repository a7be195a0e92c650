package ctrl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("A restored zone", func() {
	config := func(generation ident.Generation, out bool) *fleet.Config {
		return &fleet.Config{
			Generation: generation,
			Zones:      map[ident.ZoneID]*fleet.Zone{"a": {ID: "a", Out: out}},
			Endpoints:  map[ident.EndpointID]*fleet.EndpointSpec{"e1": {ID: "e1", Zone: "a", Address: "e1", Slots: 8, ColdSlots: 1}},
		}
	}
	phase := func(c *ctrl.Control, now time.Time) fleet.Phase {
		c.Step(now, ctrl.Tick{})
		c.Step(now, ctrl.Withdraw{Withdrawal: fleet.Withdrawal{Release: ident.Release{Model: "m", Version: ident.VersionID(now.String())}}})
		return c.View(now).Endpoints["e1"].Phase
	}

	It("has cold endpoints until a report requested after the restore says otherwise", Label("fault=endpoint-cold", "step=zone-in", "holds=cold"), func() {
		c := ctrl.New(fleet.Router{ID: "r1", Zone: "a"}, ctrl.DefaultSettings(time.Second), start)
		warm := engine.Load{Report: fleet.Report{Boot: "1", Warm: true}}
		c.Step(start, ctrl.PlatformRead{RequestedAt: start, Head: plat.Head{Generation: 1}, Config: config(1, true)})
		c.Step(start, ctrl.LoadReported{Endpoint: "e1", RequestedAt: start, Load: warm})
		Expect(phase(c, start)).To(Equal(fleet.PhaseWarm))
		restored := start.Add(time.Second)
		c.Step(restored, ctrl.PlatformRead{RequestedAt: restored, Head: plat.Head{Generation: 2}, Config: config(2, false)})
		Expect(phase(c, restored)).To(Equal(fleet.PhaseCold))
		lagging := restored.Add(200 * time.Millisecond)
		c.Step(lagging, ctrl.LoadReported{Endpoint: "e1", RequestedAt: restored, Load: warm})
		Expect(phase(c, lagging)).To(Equal(fleet.PhaseCold), "the report was not requested after the restore")
		later := restored.Add(2 * time.Second)
		c.Step(later, ctrl.LoadReported{Endpoint: "e1", RequestedAt: later, Load: warm})
		Expect(phase(c, later)).To(Equal(fleet.PhaseWarm))
	})
})
