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

// The letter's size beyond what Letter tells, and how the daemon shares its
// work with the platform; each interval is that of the code it names.
const (
	letterTokens     = 910_000.0 // a second
	letterZones      = 17.0
	letterChanges    = 2900.0 // a day
	secondsOfDay     = 86400.0
	announceSeconds  = 5.0  // ctrl's announceInterval
	followSeconds    = 5.0  // ctrl's longestFollow
	routersPerList   = 16   // ctrl's routersPerList
	cacheReports     = 2.0  // load reports for each read of cache events, of router
	callsRouters     = 8    // size of fleet from which calls are worked out
	stewardReaders   = 1.0  // other candidates, of ctrl's two, that read a lease
	measuredAllPairs = 50.0 // requests a second on a router, whose heartbeats are quoted
)

// Capacity is the letter's size worked out from measured slopes, for one node
// or for the whole fleet.
type Capacity struct {
	Requests, Tokens float64 // a second on a node
	FrontCPU         float64 // share of a core
	Streams          float64 // open on a node
	StreamBytes      float64 // of each
	ControlCPU       float64 // from slopes
	ControlState     float64 // bytes, from slopes
	Letter           ControlRow
	GossipModel      float64 // bytes a second, sent and received
	Spread           time.Duration
	AllPairsBytes    float64 // bytes sent a second by 8 routers under a load
	EndpointCPU      float64 // share of a core for each endpoint, of the control thread

	Journal, Daemon shard.Measurement // at the letter's rate, at shard's and the daemon's interval
	BillsDay        float64           // bytes a day
	Polls           float64           // a second on a node
	PollCPU         float64           // cores
	EndpointPolls   float64           // a second on an endpoint

	CallBase, CallSlope float64 // of idle fleets, calls a second
	Stewards            float64 // leases written a second, of the fleet
	Leases              float64 // leases read a second
	Announces, Lists    float64 // a second, of the fleet
	Follows, Heads      float64
	Writes, DaemonWrite float64
	Reads               float64
	Watches             float64
	PublishMiddle       time.Duration
	PublishMost         time.Duration
	ChangesSecond       float64
}

// NewCapacity works the letter's size out from figures.
func NewCapacity(f *Figures) (Capacity, error) {
	c := Capacity{
		Requests:      letterRequests / float64(Letter.Routers),
		Tokens:        letterTokens / float64(Letter.Routers),
		ChangesSecond: letterChanges / secondsOfDay,
		GossipModel:   gossip.HeartbeatBytes(Letter.Routers),
	}
	for _, work := range []func(*Figures) error{c.front, c.control, c.spread, c.records, c.polls, c.calls, c.publish} {
		if err := work(f); err != nil {
			return Capacity{}, fmt.Errorf("working out capacity: %w", err)
		}
	}
	c.totals()
	return c, nil
}

// front charges each token a hundredth of what a request of 100 tokens costs
// more through a router, which counts the cost of the request itself too often.
func (c *Capacity) front(f *Figures) error {
	var rows map[string][]OverheadRow
	if err := f.decode("overhead", &rows); err != nil {
		return err
	}
	requestOf := func(r OverheadRow) float64 { return r.Request }
	added := middle(rows["router"], requestOf) - middle(rows["direct"], requestOf)
	c.FrontCPU = c.Tokens / overheadTokens * added / 1000
	var streams []float64
	if err := f.decode("streams", &streams); err != nil {
		return err
	}
	if len(streams) != 2 {
		return fmt.Errorf("section streams has %d figures, want direct and router", len(streams))
	}
	c.StreamBytes = streams[1] - streams[0]
	c.Streams = c.Tokens * letterBetween / 1000
	return nil
}

// control adds to today's cost that of each dimension's growth.
func (c *Capacity) control(f *Figures) error {
	var data ControlData
	if err := f.decode("control", &data); err != nil {
		return err
	}
	c.Letter = data.Letter
	today, letter := data.Rows[0], Letter
	c.ControlCPU, c.ControlState = today.CPU, float64(today.State)
	for _, d := range dimensions() {
		grown := float64(*d.of(&letter) - *d.of(&today.Fleet))
		c.ControlCPU += data.slope(d.name, "cpu") * grown
		c.ControlState += data.slope(d.name, "state") * grown
	}
	c.EndpointCPU = data.slope("endpoints", "cpu")
	for _, r := range data.Rows {
		if float64(r.Fleet.Requests) == measuredAllPairs {
			c.AllPairsBytes = r.Sent
		}
	}
	return nil
}

func (d ControlData) slope(dimension, cost string) float64 {
	for _, s := range d.Slopes {
		if s.Dimension == dimension && s.Cost == cost {
			return s.Slope
		}
	}
	return 0
}

func (c *Capacity) spread(f *Figures) error {
	var rows []gossip.SpreadResult
	if err := f.decode("gossip", &rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Routers == Letter.Routers && r.Method == gossipChosen {
			c.Spread = max(c.Spread, r.Slowest)
		}
	}
	return nil
}

func (c *Capacity) records(f *Figures) error {
	var rows []shard.Measurement
	if err := f.decode("journal", &rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Workload.Method != shard.MethodJournal || r.Workload.Rate != letterRequests {
			continue
		}
		if r.Workload.BatchInterval == shard.Defaults().BatchInterval {
			c.Journal = r
		}
		if r.Workload.BatchInterval == setup.Default().Journal.Interval {
			c.Daemon = r
		}
	}
	c.BillsDay = c.Journal.BytesPerRecord * letterRequests * secondsOfDay
	return nil
}

func (c *Capacity) polls(f *Figures) error {
	var rows []PollRow
	if err := f.decode("poll", &rows); err != nil {
		return err
	}
	var cpu []float64
	for _, r := range rows {
		cpu = append(cpu, r.CPU)
	}
	each := (1 + 1/cacheReports) / setup.Default().Times.Report.Seconds()
	c.Polls = float64(Letter.Endpoints) * each
	c.EndpointPolls = float64(Letter.Routers) * each
	// The router's side is taken for half; cache events for the same as a report.
	c.PollCPU = c.Polls * stat.Mean(cpu, nil) / 2
	return nil
}

func (c *Capacity) calls(f *Figures) error {
	var rows []CallRow
	if err := f.decode("calls", &rows); err != nil {
		return err
	}
	var xs, ys []float64
	for _, r := range rows {
		if r.Routers < callsRouters {
			continue
		}
		xs = append(xs, float64(r.Routers))
		ys = append(ys, r.Idle)
	}
	c.CallBase, c.CallSlope = stat.LinearRegression(xs, ys, nil, false)
	return nil
}

func (c *Capacity) publish(f *Figures) error {
	var took []time.Duration
	if err := f.decode("publish", &took); err != nil {
		return err
	}
	c.PublishMiddle, c.PublishMost = percentile(took, 0.5), percentile(took, 1)
	return nil
}

// totals adds up what the whole fleet asks of the platform.
func (c *Capacity) totals() {
	settings := ctrl.DefaultSettings(setup.Default().Times.Heartbeat)
	routers := float64(Letter.Routers)
	c.Stewards = letterZones / permit.DefaultSettings().RenewInterval.Seconds()
	c.Leases = stewardReaders * c.Stewards
	c.Announces = routers / announceSeconds
	c.Lists = routers / (settings.ListInterval.Seconds() * float64(1+Letter.Routers/routersPerList))
	c.Heads = letterZones / settings.ReadInterval.Seconds()
	c.Follows = (routers - letterZones) / followSeconds
	c.Watches = letterZones / setup.Default().Times.Watch.Seconds()
	c.Writes = c.Journal.WritesPerSecond + c.Stewards + c.Announces + c.ChangesSecond
	c.DaemonWrite = c.Daemon.WritesPerSecond + c.Stewards + c.Announces + c.ChangesSecond
	c.Reads = c.Lists + c.Heads + c.Follows + c.Leases + c.Watches +
		c.Journal.ReadsPerRecord*letterRequests
}
