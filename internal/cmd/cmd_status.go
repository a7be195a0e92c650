package cmd

import (
	"fmt"

	"github.com/marigoldscale/marigoldscale/internal/status"
)

// Status shows the state of the fleet as reported by the routers.
type Status struct{}

// Help returns the detailed help with examples.
func (Status) Help() string {
	return `Queries every router given by --admin. A router's own entry takes precedence over
what other routers report about it.

Examples:
  marigoldscale status --admin http://10.1.0.4:9100
  marigoldscale status --json | jq '.routers[] | select(.serving | not) | .id'`
}

// Run prints the merged status of the routers.
func (c *Status) Run(r *Run) error {
	if err := r.requireAdmin(); err != nil {
		return err
	}
	replies, err := r.fetchStatuses(r.ctx)
	if err != nil {
		return err
	}
	for _, url := range unreachable(replies) {
		r.progressf("%s does not respond", url)
	}
	merged := firstStatus(replies)
	merged.Routers = nil
	for _, o := range mergeReplies(replies) {
		merged.Routers = append(merged.Routers, o.router)
	}
	if r.flags.JSON {
		return r.printJSON(merged)
	}
	fmt.Fprintf(r.Out, "as seen by %s; platform %s\n\n", merged.Self, r.formatPlatform(merged.Platform))
	return r.printTables(r.routerTable(merged), endpointTable(merged), zoneTable(merged), rolloutTable(merged), r.withdrawnTable(merged))
}

// firstStatus returns the status of the first router that responded, or the zero
// value.
func firstStatus(replies []routerReply) status.Status {
	for _, reply := range replies {
		if reply.err == nil {
			return reply.status
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

func (r *Run) routerTable(s status.Status) *table {
	t := newTable("ROUTERS", "ID", "ZONE", "GENERATION", "CONFIRMED", "SERVING", "STOPPING", "HEARD")
	for _, router := range s.Routers {
		t.addRow(string(router.ID), string(router.Zone), fmt.Sprint(router.Generation), r.formatAge(router.ConfirmedAt),
			yesNo(router.Serving), yesNo(router.Stopping), r.formatAge(router.LastSeen))
	}
	return t
}

func endpointTable(s status.Status) *table {
	t := newTable("ENDPOINTS", "ID", "ZONE", "RUNS", "PHASE", "LEAVING", "RUNNING", "WAITING", "SLOTS")
	for _, e := range s.Endpoints {
		runs := e.Release
		if runs == "" {
			runs = string(e.Service)
		}
		t.addRow(string(e.ID), string(e.Zone), runs, e.Phase, yesNo(e.Leaving),
			fmt.Sprint(e.Running), fmt.Sprint(e.Waiting), fmt.Sprint(e.Slots))
	}
	return t
}

func zoneTable(s status.Status) *table {
	t := newTable("ZONES", "ID", "OUT", "ENDPOINTS", "IN FLIGHT")
	for _, z := range s.Zones {
		t.addRow(string(z.ID), yesNo(z.Out), fmt.Sprint(z.Endpoints), fmt.Sprint(z.Inflight))
	}
	return t
}

func rolloutTable(s status.Status) *table {
	t := newTable("ROLL-OUTS", "MODEL", "TO", "STEP", "SHARE", "FULL", "PAUSED", "ABORTED")
	for _, o := range s.Rollouts {
		t.addRow(string(o.Model), string(o.To), fmt.Sprintf("%d of %d", min(o.Step+1, o.Steps), o.Steps),
			fmt.Sprintf("%.0f%%", 100*float64(o.Share)), yesNo(o.Full), yesNo(o.Paused), yesNo(o.Aborted))
	}
	return t
}

func (r *Run) withdrawnTable(s status.Status) *table {
	t := newTable("WITHDRAWN", "RELEASE", "BY", "WHEN", "REASON")
	for _, w := range s.Withdrawn {
		t.addRow(w.Release.String(), w.By, r.formatAge(w.At), w.Reason)
	}
	return t
}
