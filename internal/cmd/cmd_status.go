package cmd

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/status"
)

// Status shows the fleet as the routers see it.
type Status struct{}

// Help shows examples.
func (Status) Help() string {
	return `Asks every router named by --admin. A router's own entry goes before what others
last heard of it.

Examples:
  marigoldscale status --admin http://10.1.0.4:9100
  marigoldscale status --json | jq '.routers[] | select(.serving | not) | .id'`
}

// Run shows the status.
func (c *Status) Run(r *Run) error {
	if err := r.requireAdmin(); err != nil {
		return err
	}
	views, err := r.fetchStatuses(r.ctx)
	if err != nil {
		return err
	}
	for _, name := range unreachable(views) {
		r.progressf("%s does not answer", name)
	}
	seen := firstStatus(views)
	seen.Routers = nil
	for _, s := range mergeReplies(views) {
		seen.Routers = append(seen.Routers, s.router)
	}
	if r.flags.JSON {
		return r.printJSON(seen)
	}
	fmt.Fprintf(r.Out, "as %s sees it; platform %s\n\n", seen.Self, r.formatPlatform(seen.Platform))
	return r.printTables(r.routerTable(seen), endpointTable(seen), zoneTable(seen), rolloutTable(seen), r.withdrawnTable(seen))
}

func firstStatus(views []routerReply) status.Status {
	for _, v := range views {
		if v.err == nil {
			return v.status
		}
	}
	return status.Status{}
}

func (r *Run) formatPlatform(p status.Platform) string {
	if p.Reachable {
		return "reachable"
	}
	return "not reachable, last change " + r.formatAge(p.Since)
}

func (r *Run) routerTable(seen status.Status) *table {
	t := newTable("ROUTERS", "ID", "ZONE", "GENERATION", "CONFIRMED", "SERVING", "STOPPING", "HEARD")
	for _, router := range seen.Routers {
		t.addRow(string(router.ID), string(router.Zone), fmt.Sprint(router.Generation), r.formatAge(router.ConfirmedAt),
			yesNo(router.Serving), yesNo(router.Stopping), r.formatAge(router.LastSeen))
	}
	return t
}

func endpointTable(seen status.Status) *table {
	t := newTable("ENDPOINTS", "ID", "ZONE", "RUNS", "PHASE", "LEAVING", "RUNNING", "WAITING", "SLOTS")
	for _, e := range seen.Endpoints {
		runs := e.Release
		if runs == "" {
			runs = string(e.Service)
		}
		t.addRow(string(e.ID), string(e.Zone), runs, e.Phase, yesNo(e.Leaving),
			fmt.Sprint(e.Running), fmt.Sprint(e.Waiting), fmt.Sprint(e.Slots))
	}
	return t
}

func zoneTable(seen status.Status) *table {
	t := newTable("ZONES", "ID", "OUT", "ENDPOINTS", "IN FLIGHT")
	for _, z := range seen.Zones {
		t.addRow(string(z.ID), yesNo(z.Out), fmt.Sprint(z.Endpoints), fmt.Sprint(z.Inflight))
	}
	return t
}

func rolloutTable(seen status.Status) *table {
	t := newTable("ROLL-OUTS", "MODEL", "TO", "STEP", "SHARE", "FULL", "PAUSED", "ABORTED")
	for _, o := range seen.Rollouts {
		t.addRow(string(o.Model), string(o.To), fmt.Sprintf("%d of %d", min(o.Step+1, o.Steps), o.Steps),
			fmt.Sprintf("%.0f%%", 100*float64(o.Share)), yesNo(o.Full), yesNo(o.Paused), yesNo(o.Aborted))
	}
	return t
}

func (r *Run) withdrawnTable(seen status.Status) *table {
	t := newTable("WITHDRAWN", "RELEASE", "BY", "WHEN", "REASON")
	for _, w := range seen.Withdrawn {
		t.addRow(w.Release.String(), w.By, r.formatAge(w.At), w.Reason)
	}
	return t
}
