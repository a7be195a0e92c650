package bench

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

// This file renders the tables of the capacity page. The source of a figure is
// given as its section and the values used from it.

const notMeasured = "not measured"

// AllPairsRequests returns the load for which all-pairs heartbeats are reported, in
// requests per second and router.
func (p page) AllPairsRequests() float64 { return allPairsRequestRate }

// Interval returns the daemon's default time between two batches of a shard.
func (p page) Interval() time.Duration { return setup.Default().Journal.Interval }

// BillsGB returns the size of the bills of one day, in gigabytes.
func (p page) BillsGB() float64 { return p.Capacity.BillsDay / 1e9 }

// MeanDrawSeconds returns the mean time until one router draws a given other one as
// its gossip peer, in seconds.
func (p page) MeanDrawSeconds() float64 {
	return gossip.Interval(TargetFleet.Routers).Seconds() * float64(TargetFleet.Routers-1)
}

// Roles returns a table of the cost of each role per node.
func (p page) Roles() string {
	c := p.Capacity
	routers := float64(TargetFleet.Routers)
	rows := [][]string{
		{
			"router front", formatFigure(c.Streams) + " open streams", formatFigure(c.Tokens) + " tokens in and out", notMeasured,
			formatPercent(c.FrontCPU), formatMegabytes(c.Streams * c.StreamBytes),
			"overhead: CPU ms/request, router less direct, per 100 tokens; streams: bytes/stream, router less direct",
			"one snapshot of the control thread's state for each request; a stream is passed on frame by frame",
		},
		{
			"control thread", formatMegabytes(c.ControlState), "with peers and polls, below", "below",
			formatPercent(c.ControlCPU) + " by slopes, " + formatPercent(c.Letter.CPU) + " at the size itself", formatMegabytes(float64(c.Letter.State)),
			"control: slopes of cpu and state over routers, endpoints, models, changes, requests; last row",
			"one thread owns the state; events and time in, actions out",
		},
		{
			"peer link and gossip relay", "in the control thread's", formatFigure(c.Letter.Heartbeats) + " heartbeats sent", formatFigure(c.Letter.Sent) + " sent; " + formatFigure(c.GossipModel) + " both ways with TCP, by model",
			"in the control thread's", notMeasured,
			"control: last row; gossip: steady bytes/s of " + gossipMethod,
			"one random peer every 200 ms, news to 6; entries on 60 peers; evidence to collectors every 2 s",
		},
		{
			"shard owner", notMeasured, formatFigure(c.Requests) + " records forwarded, " + formatFigure(c.Journal.WritesPerSecond/routers) + " writes (mean; " + formatFigure(c.Journal.WritesPerSecond/float64(c.Journal.Workload.Shards)) + " for each shard)",
			formatFigure(c.Journal.BytesPerRecord*targetRequestRate/routers) + " to the platform", notMeasured, notMeasured,
			"journal: 1,900 records/s at 80 ms",
			"a ring of slots overwritten on condition, batches of a shard's records",
		},
		{
			"steward", notMeasured, "1 write, 1 read by the other candidate", notMeasured, "in the control thread's", notMeasured,
			"from the settings: one renewal a second for each zone",
			"lease for each zone, permits handed out by peer link",
		},
		{
			"platform client", notMeasured, formatFigure(c.Reads/routers) + " reads and watches, " + formatFigure(c.Writes/routers) + " writes", notMeasured, notMeasured, notMeasured,
			"worked out below; calls: idle calls",
			"one router for each zone reads and watches for all; the others hear it",
		},
		{
			"load-report poller", formatFigure(float64(TargetFleet.Endpoints)) + " pollers", formatFigure(c.Polls) + " reads", notMeasured,
			formatPercent(c.PollCPU), notMeasured,
			"poll: CPU us/report, half for the router's side; 1,500 endpoints, every " + setup.Default().Times.Report.String() + ", cache events with every other",
			"none yet: every router polls every endpoint",
		},
		{
			"operator", "none", fmt.Sprintf("%.3f changes of the fleet", c.ChangesSecond), notMeasured, notMeasured, notMeasured,
			fmt.Sprintf("publish: p50 %s ms, max %s ms at 8 routers; gossip: slowest spread %s ms at 360", formatMillis(c.PublishMiddle), formatMillis(c.PublishMost), formatMillis(c.Spread)),
			"objects first, head last on condition; watch, then gossip",
		},
	}
	return markdownTable([]string{"role", "state", "messages/s", "bytes/s", "processor, of a core", "memory", "source", "mechanism"}, rows)
}

// Platform returns a table of the platform calls of the fleet.
func (p page) Platform() string {
	c := p.Capacity
	rows := [][]string{
		{"journal, batches every 80 ms", formatFigure(c.Journal.WritesPerSecond), formatFigure(c.Journal.ReadsPerRecord * targetRequestRate), "journal: writes/s, reads/record at 1,900 records/s"},
		{"journal, batches every " + p.Interval().String() + " (the daemon's default)", formatFigure(c.Daemon.WritesPerSecond), formatFigure(c.Daemon.ReadsPerRecord * targetRequestRate), "journal, the same"},
		{"steward leases", formatFigure(c.Stewards), formatFigure(c.Leases), "one renewal a second for each of 17 zones, one other candidate reads"},
		{"renewal in the list of instances", formatFigure(c.Announces), "", "every router every 5 s"},
		{"reads of the list of instances", "", formatFigure(c.Lists), "every router, less often as the fleet grows"},
		{"configuration, one reader a zone", "", formatFigure(c.Heads), "listed once a second"},
		{"roll-outs under way", "", formatFigure(c.Follows), "the other routers, every 5 s, on days with a roll-out"},
		{"watches", "", formatFigure(c.Watches), "one reader a zone, 10 s each; 17 open at any time"},
		{"changes of configuration", formatFigure(c.ChangesSecond) + " x objects of each", notMeasured, "2,900 a day; calls for each change are not measured"},
		{"**total, journal at 80 ms**", "**" + formatFigure(c.Writes) + "** of " + formatFigure(platformWriteLimit), "**" + formatFigure(c.Reads) + "** of " + formatFigure(platformReadLimit), "several hundred is read as 400"},
		{"**total, journal at the daemon's default**", "**" + formatFigure(c.DaemonWrite) + "** of " + formatFigure(platformWriteLimit), "", ""},
	}
	idle := fmt.Sprintf("\n\nAs a check, the idle calls of all kinds measured at 8 to 24 routers of 3 zones give %s + %s for each router,\n%s a second at 360.",
		formatFigure(c.CallBase), formatFigure(c.CallSlope), formatFigure(c.CallBase+c.CallSlope*float64(TargetFleet.Routers)))
	return markdownTable([]string{"calls of the fleet, a second", "writes", "reads", "from"}, rows) + idle
}

// Verdicts returns a table of the limits that hold at the target size.
func (p page) Verdicts() string {
	c := p.Capacity
	cpu := max(c.Letter.CPU, c.ControlCPU)
	rows := [][]string{
		verdictRow("control thread's processor", formatPercent(cpu), formatPercent(maxControlCPU), cpu <= maxControlCPU),
		verdictRow("control thread's memory", formatMegabytes(float64(c.Letter.State)), formatMegabytes(maxControlMemory), float64(c.Letter.State) <= maxControlMemory),
		verdictRow("heartbeats, bytes/s both ways", formatFigure(c.GossipModel), formatFigure(maxControlBytes), c.GossipModel <= maxControlBytes),
		verdictRow("load reports' processor, a node", formatPercent(c.PollCPU), formatPercent(maxControlCPU), c.PollCPU <= maxControlCPU),
		verdictRow("platform writes/s, journal at 80 ms", formatFigure(c.Writes), formatFigure(platformWriteLimit), c.Writes <= platformWriteLimit),
		verdictRow("platform writes/s, journal at the daemon's default", formatFigure(c.DaemonWrite), formatFigure(platformWriteLimit), c.DaemonWrite <= platformWriteLimit),
		verdictRow("platform reads/s", formatFigure(c.Reads), formatFigure(platformReadLimit), c.Reads <= platformReadLimit),
		verdictRow("spread of a change by gossip at 360, 10% loss (model)", c.Spread.String(), "5s", c.Spread <= publishBound*time.Second),
		verdictRow("heartbeats between all pairs at 8 routers and 50 requests/s each, bytes/s sent", formatFigure(c.AllPairsBytes), formatFigure(maxControlBytes), c.AllPairsBytes <= maxControlBytes),
	}
	return markdownTable([]string{"what", "worked out", "may be", "holds"}, rows)
}

func verdictRow(what, value, limit string, holds bool) []string {
	word := "**no**"
	if holds {
		word = "yes"
	}
	return []string{what, value, limit, word}
}

// formatFigure formats a number with three significant digits below a thousand, and
// as an integer from there on.
func formatFigure(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return formatNumber(x)
}

func formatPercent(share float64) string {
	return formatFigure(share*100) + "%"
}

func formatMegabytes(x float64) string {
	const mega = 1 << 20
	return fmt.Sprintf("%.1f MB", x/mega)
}
