package bench

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/setup"
)

// The tables of the capacity page. A figure's source is named as the section
// and what was taken of it.

const absent = "not measured"

// AllPairsRequests is the load under which the heartbeats between all pairs are
// quoted, in requests a second on a router.
func (p page) AllPairsRequests() float64 { return measuredAllPairs }

// Interval is the daemon's time between two batches of a shard.
func (p page) Interval() time.Duration { return setup.Default().Journal.Interval }

// BillsGB is what bills take a day, in gigabytes.
func (p page) BillsGB() float64 { return p.Capacity.BillsDay / 1e9 }

// Meet is the mean time until one given router draws another, in seconds.
func (p page) Meet() float64 {
	return gossip.Interval(Letter.Routers).Seconds() * float64(Letter.Routers-1)
}

// Roles tells what each role costs a node.
func (p page) Roles() string {
	c := p.Capacity
	routers := float64(Letter.Routers)
	rows := [][]string{
		{
			"router front", figure(c.Streams) + " open streams", figure(c.Tokens) + " tokens in and out", absent,
			percent(c.FrontCPU), bytesOf(c.Streams * c.StreamBytes),
			"overhead: CPU ms/request, router less direct, per 100 tokens; streams: bytes/stream, router less direct",
			"one snapshot of the control thread's state for each request; a stream is passed on frame by frame",
		},
		{
			"control thread", bytesOf(c.ControlState), "with peers and polls, below", "below",
			percent(c.ControlCPU) + " by slopes, " + percent(c.Letter.CPU) + " at the size itself", bytesOf(float64(c.Letter.State)),
			"control: slopes of cpu and state over routers, endpoints, models, changes, requests; last row",
			"one thread owns the state; events and time in, actions out",
		},
		{
			"peer link and gossip relay", "in the control thread's", figure(c.Letter.Beats) + " heartbeats sent", figure(c.Letter.Sent) + " sent; " + figure(c.GossipModel) + " both ways with TCP, by model",
			"in the control thread's", absent,
			"control: last row; gossip: steady bytes/s of " + gossipChosen,
			"one random peer every 200 ms, news to 6; entries on 60 peers; evidence to collectors every 2 s",
		},
		{
			"shard owner", absent, figure(c.Requests) + " records forwarded, " + figure(c.Journal.WritesPerSecond/routers) + " writes (mean; " + figure(c.Journal.WritesPerSecond/float64(c.Journal.Workload.Shards)) + " for each shard)",
			figure(c.Journal.BytesPerRecord*letterRequests/routers) + " to the platform", absent, absent,
			"journal: 1,900 records/s at 80 ms",
			"a ring of slots overwritten on condition, batches of a shard's records",
		},
		{
			"steward", absent, "1 write, 1 read by the other candidate", absent, "in the control thread's", absent,
			"from the settings: one renewal a second for each zone",
			"lease for each zone, permits handed out by peer link",
		},
		{
			"platform client", absent, figure(c.Reads/routers) + " reads and watches, " + figure(c.Writes/routers) + " writes", absent, absent, absent,
			"worked out below; calls: idle calls",
			"one router for each zone reads and watches for all; the others hear it",
		},
		{
			"load-report poller", figure(float64(Letter.Endpoints)) + " pollers", figure(c.Polls) + " reads", absent,
			percent(c.PollCPU), absent,
			"poll: CPU us/report, half for the router's side; 1,500 endpoints, every " + setup.Default().Times.Report.String() + ", cache events with every other",
			"none yet: every router polls every endpoint",
		},
		{
			"operator", "none", fmt.Sprintf("%.3f changes of the fleet", c.ChangesSecond), absent, absent, absent,
			fmt.Sprintf("publish: p50 %s ms, max %s ms at 8 routers; gossip: slowest spread %s ms at 360", millis(c.PublishMiddle), millis(c.PublishMost), millis(c.Spread)),
			"objects first, head last on condition; watch, then gossip",
		},
	}
	return tableText([]string{"role", "state", "messages/s", "bytes/s", "processor, of a core", "memory", "source", "mechanism"}, rows)
}

// Platform tells what the fleet asks of the platform.
func (p page) Platform() string {
	c := p.Capacity
	rows := [][]string{
		{"journal, batches every 80 ms", figure(c.Journal.WritesPerSecond), figure(c.Journal.ReadsPerRecord * letterRequests), "journal: writes/s, reads/record at 1,900 records/s"},
		{"journal, batches every " + p.Interval().String() + " (the daemon's default)", figure(c.Daemon.WritesPerSecond), figure(c.Daemon.ReadsPerRecord * letterRequests), "journal, the same"},
		{"steward leases", figure(c.Stewards), figure(c.Leases), "one renewal a second for each of 17 zones, one other candidate reads"},
		{"renewal in the list of instances", figure(c.Announces), "", "every router every 5 s"},
		{"reads of the list of instances", "", figure(c.Lists), "every router, less often as the fleet grows"},
		{"configuration, one reader a zone", "", figure(c.Heads), "listed once a second"},
		{"roll-outs under way", "", figure(c.Follows), "the other routers, every 5 s, on days with a roll-out"},
		{"watches", "", figure(c.Watches), "one reader a zone, 10 s each; 17 open at any time"},
		{"changes of configuration", figure(c.ChangesSecond) + " x objects of each", absent, "2,900 a day; calls for each change are not measured"},
		{"**total, journal at 80 ms**", "**" + figure(c.Writes) + "** of " + figure(platformWrites), "**" + figure(c.Reads) + "** of " + figure(platformReads), "several hundred is read as 400"},
		{"**total, journal at the daemon's default**", "**" + figure(c.DaemonWrite) + "** of " + figure(platformWrites), "", ""},
	}
	idle := fmt.Sprintf("\n\nAs a check, the idle calls of all kinds measured at 8 to 24 routers of 3 zones give %s + %s for each router,\n%s a second at 360.",
		figure(c.CallBase), figure(c.CallSlope), figure(c.CallBase+c.CallSlope*float64(Letter.Routers)))
	return tableText([]string{"calls of the fleet, a second", "writes", "reads", "from"}, rows) + idle
}

// Verdicts tells what holds at the letter's size.
func (p page) Verdicts() string {
	c := p.Capacity
	cpu := max(c.Letter.CPU, c.ControlCPU)
	rows := [][]string{
		verdict("control thread's processor", percent(cpu), percent(letterCPU), cpu <= letterCPU),
		verdict("control thread's memory", bytesOf(float64(c.Letter.State)), bytesOf(letterMemory), float64(c.Letter.State) <= letterMemory),
		verdict("heartbeats, bytes/s both ways", figure(c.GossipModel), figure(letterBytes), c.GossipModel <= letterBytes),
		verdict("load reports' processor, a node", percent(c.PollCPU), percent(letterCPU), c.PollCPU <= letterCPU),
		verdict("platform writes/s, journal at 80 ms", figure(c.Writes), figure(platformWrites), c.Writes <= platformWrites),
		verdict("platform writes/s, journal at the daemon's default", figure(c.DaemonWrite), figure(platformWrites), c.DaemonWrite <= platformWrites),
		verdict("platform reads/s", figure(c.Reads), figure(platformReads), c.Reads <= platformReads),
		verdict("spread of a change by gossip at 360, 10% loss (model)", c.Spread.String(), "5s", c.Spread <= publishBound*time.Second),
		verdict("heartbeats between all pairs at 8 routers and 50 requests/s each, bytes/s sent", figure(c.AllPairsBytes), figure(letterBytes), c.AllPairsBytes <= letterBytes),
	}
	return tableText([]string{"what", "worked out", "may be", "holds"}, rows)
}

func verdict(what, value, limit string, holds bool) []string {
	word := "**no**"
	if holds {
		word = "yes"
	}
	return []string{what, value, limit, word}
}

// figure writes a number plainly, with three digits below a thousand.
func figure(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return number(x)
}

func percent(share float64) string {
	return figure(share*100) + "%"
}

func bytesOf(x float64) string {
	const mega = 1 << 20
	return fmt.Sprintf("%.1f MB", x/mega)
}
