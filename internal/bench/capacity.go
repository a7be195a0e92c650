package bench

import (
	"fmt"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/permit"
	"github.com/marigoldscale/marigoldscale/internal/setup"
	"github.com/marigoldscale/marigoldscale/internal/shard"
)

// The target size beyond TargetFleet, and the rates at which the fleet calls the
// platform. Intervals must equal those of the code named beside them.
const (
	targetTokenRate         = 910_000.0 // per second
	targetZones             = 17.0
	targetChangesPerDay     = 2900.0 // per day
	secondsPerDay           = 86400.0
	announceIntervalSeconds = 5.0  // announceInterval of ctrl
	followIntervalSeconds   = 5.0  // longestFollow of ctrl
	routersPerList          = 16   // routersPerList of ctrl
	reportsPerCacheRead     = 2.0  // load reports per read of cache events, in package router
	minFitRouters           = 8    // smallest fleet that the call rates are fitted to
	readersPerLease         = 1.0  // candidates that read the lease of the other; ctrl has two per lease
	allPairsRequestRate     = 50.0 // requests per second and router for which all-pairs heartbeats are reported
)

// Capacity estimates the load at the target size from measured slopes, for one
// node or for the whole fleet.
type Capacity struct {
	Requests, Tokens float64    // per second and node
	FrontCPU         float64    // share of a core
	Streams          float64    // open per node
	StreamBytes      float64    // per stream
	ControlCPU       float64    // share of a core, from slopes
	ControlState     float64    // bytes, from slopes
	Letter           ControlRow // of the target fleet
	GossipModel      float64    // bytes per second, sent and received
	Spread           time.Duration
	AllPairsBytes    float64 // bytes sent per second by one of 8 routers under allPairsRequestRate
	EndpointCPU      float64 // share of a core per endpoint, of the control thread

	Journal, Daemon shard.Measurement // at the target rate, with the batch interval of shard and of the daemon
	BillsDay        float64           // bytes per day
	Polls           float64           // per second and node
	PollCPU         float64           // cores
	EndpointPolls   float64           // per second and endpoint

	CallBase, CallSlope float64 // calls per second of idle fleets: intercept, and slope per router
	Stewards            float64 // lease writes per second of the fleet
	Leases              float64 // lease reads per second of the fleet
	Announces, Lists    float64 // per second, of the fleet
	Follows, Heads      float64
	Writes, DaemonWrite float64
	Reads               float64
	Watches             float64
	PublishMiddle       time.Duration
	PublishMost         time.Duration
	ChangesSecond       float64
}

// NewCapacity computes the capacity estimate from figures.
func NewCapacity(f *Figures) (Capacity, error) {
	c := Capacity{
		Requests:      targetRequestRate / float64(TargetFleet.Routers),
		Tokens:        targetTokenRate / float64(TargetFleet.Routers),
		ChangesSecond: targetChangesPerDay / secondsPerDay,
		GossipModel:   gossip.HeartbeatBytes(TargetFleet.Routers),
	}
	for _, compute := range []func(*Figures) error{c.computeFrontEnd, c.computeControl, c.computeSpread, c.computeJournal, c.computePolls, c.computeCalls, c.computePublish} {
		if err := compute(f); err != nil {
			return Capacity{}, fmt.Errorf("computing capacity: %w", err)
		}
	}
	c.computeTotals()
	return c, nil
}

// computeFrontEnd charges each token a hundredth of the CPU time that a router adds
// to a request of 100 tokens. This overestimates, since it spreads the cost of
// the request itself over its tokens.
func (c *Capacity) computeFrontEnd(f *Figures) error {
	var rows map[string][]OverheadRow
	if err := f.decodeData("overhead", &rows); err != nil {
		return err
	}
	cpuOf := func(r OverheadRow) float64 { return r.CPUPerRequest }
	added := medianOf(rows["router"], cpuOf) - medianOf(rows["direct"], cpuOf)
	c.FrontCPU = c.Tokens / overheadTokens * added / 1000
	var streams []float64
	if err := f.decodeData("streams", &streams); err != nil {
		return err
	}
	if len(streams) != 2 {
		return fmt.Errorf("section streams has %d figures, want 2 (direct and router)", len(streams))
	}
	c.StreamBytes = streams[1] - streams[0]
	c.Streams = c.Tokens * targetInterToken / 1000
	return nil
}

// computeControl extrapolates the cost of the control thread from the smallest
// size, using the slope of each dimension.
func (c *Capacity) computeControl(f *Figures) error {
	var data ControlData
	if err := f.decodeData("control", &data); err != nil {
		return err
	}
	c.Letter = data.Target
	smallest, target := data.Rows[0], TargetFleet
	c.ControlCPU, c.ControlState = smallest.CPU, float64(smallest.State)
	for _, d := range dimensions() {
		grown := float64(*d.value(&target) - *d.value(&smallest.Fleet))
		c.ControlCPU += data.slopeOf(d.name, "cpu") * grown
		c.ControlState += data.slopeOf(d.name, "state") * grown
	}
	c.EndpointCPU = data.slopeOf("endpoints", "cpu")
	for _, r := range data.Rows {
		if float64(r.Fleet.Requests) == allPairsRequestRate {
			c.AllPairsBytes = r.Sent
		}
	}
	return nil
}

func (d ControlData) slopeOf(dimension, cost string) float64 {
	for _, s := range d.Slopes {
		if s.Dimension == dimension && s.Cost == cost {
			return s.Slope
		}
	}
	return 0
}

func (c *Capacity) computeSpread(f *Figures) error {
	var rows []gossip.SpreadResult
	if err := f.decodeData("gossip", &rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Routers == TargetFleet.Routers && r.Method == gossipMethod {
			c.Spread = max(c.Spread, r.Slowest)
		}
	}
	return nil
}

func (c *Capacity) computeJournal(f *Figures) error {
	var rows []shard.Measurement
	if err := f.decodeData("journal", &rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Workload.Method != shard.MethodJournal || r.Workload.Rate != targetRequestRate {
			continue
		}
		if r.Workload.BatchInterval == shard.Defaults().BatchInterval {
			c.Journal = r
		}
		if r.Workload.BatchInterval == setup.Default().Journal.Interval {
			c.Daemon = r
		}
	}
	c.BillsDay = c.Journal.BytesPerRecord * targetRequestRate * secondsPerDay
	return nil
}

func (c *Capacity) computePolls(f *Figures) error {
	var rows []PollRow
	if err := f.decodeData("poll", &rows); err != nil {
		return err
	}
	var cpu []float64
	for _, r := range rows {
		cpu = append(cpu, r.CPUSeconds)
	}
	perEndpoint := (1 + 1/reportsPerCacheRead) / setup.Default().Times.Report.Seconds()
	c.Polls = float64(TargetFleet.Endpoints) * perEndpoint
	c.EndpointPolls = float64(TargetFleet.Routers) * perEndpoint
	// Half of the CPU time is attributed to the router, and a read of cache events
	// is assumed to cost the same as a load report.
	c.PollCPU = c.Polls * stat.Mean(cpu, nil) / 2
	return nil
}

func (c *Capacity) computeCalls(f *Figures) error {
	var rows []CallRow
	if err := f.decodeData("calls", &rows); err != nil {
		return err
	}
	var xs, ys []float64
	for _, r := range rows {
		if r.Routers < minFitRouters {
			continue
		}
		xs = append(xs, float64(r.Routers))
		ys = append(ys, r.IdleCalls)
	}
	c.CallBase, c.CallSlope = stat.LinearRegression(xs, ys, nil, false)
	return nil
}

func (c *Capacity) computePublish(f *Figures) error {
	var durations []time.Duration
	if err := f.decodeData("publish", &durations); err != nil {
		return err
	}
	c.PublishMiddle, c.PublishMost = percentile(durations, 0.5), percentile(durations, 1)
	return nil
}

// computeTotals sums the platform calls of the whole fleet.
func (c *Capacity) computeTotals() {
	settings := ctrl.DefaultSettings(setup.Default().Times.Heartbeat)
	routers := float64(TargetFleet.Routers)
	c.Stewards = targetZones / permit.DefaultSettings().RenewInterval.Seconds()
	c.Leases = readersPerLease * c.Stewards
	c.Announces = routers / announceIntervalSeconds
	c.Lists = routers / (settings.ListInterval.Seconds() * float64(1+TargetFleet.Routers/routersPerList))
	c.Heads = targetZones / settings.ReadInterval.Seconds()
	c.Follows = (routers - targetZones) / followIntervalSeconds
	c.Watches = targetZones / setup.Default().Times.Watch.Seconds()
	c.Writes = c.Journal.WritesPerSecond + c.Stewards + c.Announces + c.ChangesSecond
	c.DaemonWrite = c.Daemon.WritesPerSecond + c.Stewards + c.Announces + c.ChangesSecond
	c.Reads = c.Lists + c.Heads + c.Follows + c.Leases + c.Watches +
		c.Journal.ReadsPerRecord*targetRequestRate
}
