package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/engine"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/gossip"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/roll"
	"github.com/marigoldscale/marigoldscale/internal/router"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	controlTick              = 50 * time.Millisecond
	controlReportInterval    = 250 * time.Millisecond
	controlHeartbeatInterval = 500 * time.Millisecond
	controlDuration          = 10 * time.Second // simulated time per size
)

// FleetSize is the size of the fleet that a control thread sees.
type FleetSize struct {
	Routers   int `json:"routers"`
	Endpoints int `json:"endpoints"`
	Models    int `json:"models"`
	Teams     int `json:"teams"`
	Changes   int `json:"changes"`  // configurations per minute
	Requests  int `json:"requests"` // per second, on this router
}

// ControlRow is the cost of one control thread at a fleet size.
type ControlRow struct {
	Fleet       FleetSize     `json:"fleet"`
	CPU         float64       `json:"cpu"`    // share of a core, including the generation of its input
	Sent        float64       `json:"sent"`   // bytes of heartbeats per second
	Heartbeats  float64       `json:"beats"`  // sent per second
	State       uint64        `json:"state"`  // bytes
	LongestStep time.Duration `json:"stall"`  // duration of the longest step
	Allocs      float64       `json:"allocs"` // per second
}

// MeasureControl measures one control thread whose peers reply immediately, at
// sizes that differ from the smallest in one dimension at a time.
func MeasureControl(seed uint64) ([]ControlRow, error) {
	var rows []ControlRow
	for _, f := range controlSizes() {
		row, err := measureControlSize(seed, f)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// controlSizes varies one dimension at a time, starting from a small fleet.
func controlSizes() []FleetSize {
	base := FleetSize{Routers: 8, Endpoints: 16, Models: 3, Teams: 10, Changes: 2, Requests: 5}
	var sizes []FleetSize
	vary := func(set func(*FleetSize, int), values ...int) {
		for _, v := range values {
			f := base
			set(&f, v)
			sizes = append(sizes, f)
		}
	}
	vary(func(f *FleetSize, v int) { f.Routers = v }, 8, 45, 90, 180, 360)
	vary(func(f *FleetSize, v int) { f.Endpoints = v }, 16, 100, 400, 800, 1500)
	vary(func(f *FleetSize, v int) { f.Models = v }, 3, 7, 14, 21)
	vary(func(f *FleetSize, v int) { f.Changes = v }, 0, 2, 10, 60)
	vary(func(f *FleetSize, v int) { f.Requests = v }, 0, 5, 50, 240)
	return sizes
}

// testbed is a control thread with a simulated fleet.
type testbed struct {
	size        FleetSize
	control     *ctrl.Control
	now         time.Time
	config      *fleet.Config
	peers       []fleet.Router
	sent        int64
	heartbeats  int64
	longestStep time.Duration
	err         error
}

func measureControlSize(seed uint64, f FleetSize) (ControlRow, error) {
	before := heapBytes()
	b := newTestbed(seed, f)
	b.warmUp()
	state := heapBytes() - min(before, heapBytes())
	var start, end runtime.MemStats
	runtime.ReadMemStats(&start)
	used := cpuTime()
	b.advance(controlDuration)
	used = cpuTime() - used
	runtime.ReadMemStats(&end)
	if b.err != nil {
		return ControlRow{}, fmt.Errorf("measuring control thread with %d routers: %w", f.Routers, b.err)
	}
	span := controlDuration.Seconds()
	return ControlRow{
		Fleet:       f,
		CPU:         used.Seconds() / span,
		Sent:        float64(b.sent) / span,
		Heartbeats:  float64(b.heartbeats) / span,
		State:       state,
		LongestStep: b.longestStep,
		Allocs:      float64(end.Mallocs-start.Mallocs) / span,
	}, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func newTestbed(seed uint64, f FleetSize) *testbed {
	start := time.Unix(int64(1_800_000_000+seed%1000), 0)
	self := fleet.Router{ID: "router-0", Zone: "zone-0", Peer: "peer-0"}
	b := &testbed{
		size:    f,
		control: ctrl.New(self, ctrl.DefaultSettings(controlHeartbeatInterval), start),
		now:     start,
		config:  newConfig(f),
	}
	for i := 1; i < f.Routers; i++ {
		b.peers = append(b.peers, fleet.Router{
			ID:   ident.RouterID(fmt.Sprintf("router-%d", i)),
			Zone: ident.ZoneID(fmt.Sprintf("zone-%d", i%zoneCount(f))),
			Peer: fmt.Sprintf("peer-%d", i),
		})
	}
	return b
}

func zoneCount(f FleetSize) int {
	return max(3, min(17, f.Routers/20))
}

func newConfig(f FleetSize) *fleet.Config {
	c := &fleet.Config{
		Generation: 1,
		Teams:      map[ident.TeamID]*fleet.Team{},
		Models:     map[ident.ModelID]*fleet.Model{},
		Rollouts:   map[ident.ModelID]*fleet.Rollout{},
		Zones:      map[ident.ZoneID]*fleet.Zone{},
		Endpoints:  map[ident.EndpointID]*fleet.EndpointSpec{},
	}
	for i := range f.Teams {
		id := ident.TeamID(fmt.Sprintf("team-%d", i))
		c.Teams[id] = &fleet.Team{ID: id}
	}
	for i := range zoneCount(f) {
		id := ident.ZoneID(fmt.Sprintf("zone-%d", i))
		c.Zones[id] = &fleet.Zone{ID: id}
	}
	for i := range f.Models {
		id := ident.ModelID(fmt.Sprintf("model-%d", i))
		c.Models[id] = &fleet.Model{ID: id, Default: "1", Versions: []ident.VersionID{"1", "2"}}
	}
	c.Rollouts["model-0"] = &fleet.Rollout{Model: "model-0", To: "2", Steps: []fleet.RolloutStep{{Share: 0.5, Evidence: 1 << 30}}}
	for i := range f.Endpoints {
		id := ident.EndpointID(fmt.Sprintf("endpoint-%d", i))
		c.Endpoints[id] = &fleet.EndpointSpec{
			ID:        id,
			Zone:      ident.ZoneID(fmt.Sprintf("zone-%d", i%zoneCount(f))),
			Address:   fmt.Sprintf("address-%d", i),
			Release:   ident.Release{Model: ident.ModelID(fmt.Sprintf("model-%d", i%f.Models)), Version: "1"},
			Slots:     32,
			ColdSlots: 4,
		}
	}
	return c
}

// warmUp brings the control thread to its steady state.
func (b *testbed) warmUp() {
	b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: 1}, Config: b.config})
	instances := make([]plat.Instance, 0, len(b.peers))
	for _, p := range b.peers {
		instances = append(instances, plat.Instance{ID: string(p.ID), Zone: string(p.Zone), Address: p.Peer})
	}
	b.step(ctrl.InstancesListed{Instances: instances})
	b.advance(3 * time.Second)
	b.sent, b.heartbeats, b.longestStep = 0, 0, 0
}

// advance simulates the events of a live fleet for a duration.
func (b *testbed) advance(span time.Duration) {
	for n := 1; n <= int(span/controlTick); n++ {
		b.now = b.now.Add(controlTick)
		if n%int(b.control.TickInterval()/controlTick) == 0 {
			b.step(ctrl.Tick{})
		}
		b.deliverHeartbeats(n)
		b.deliverLoadReports(n)
		b.deliverOutcomes(n)
		b.publishChange(n)
	}
}

// deliverHeartbeats delivers the heartbeats of the peers that are due at tick n,
// spread evenly over their interval.
func (b *testbed) deliverHeartbeats(n int) {
	every := int(controlHeartbeatInterval / controlTick)
	if !gossip.AllPairs(b.size.Routers) {
		every = int(gossip.Interval(b.size.Routers)/controlTick) * len(b.peers)
	}
	for i, p := range b.peers {
		if (i+n)%every != 0 {
			continue
		}
		b.step(ctrl.HeartbeatReceived{Heartbeat: ctrl.Heartbeat{
			Router:            p,
			Generation:        b.config.Generation,
			PlatformReachable: true,
			Serving:           true,
		}})
	}
}

func (b *testbed) deliverLoadReports(n int) {
	every := int(controlReportInterval / controlTick)
	for i := n % every; i < b.size.Endpoints; i += every {
		id := ident.EndpointID(fmt.Sprintf("endpoint-%d", i))
		load := engine.Load{Report: fleet.Report{Boot: "1", Warm: true, Running: n % 8}}
		b.step(ctrl.LoadReported{Endpoint: id, RequestedAt: b.now, Load: load})
	}
}

// deliverOutcomes delivers the outcomes of this router's own requests at tick n.
func (b *testbed) deliverOutcomes(n int) {
	perTick := float64(b.size.Requests) * controlTick.Seconds()
	for range int(perTick*float64(n)) - int(perTick*float64(n-1)) {
		b.step(ctrl.AttemptEnded{
			Endpoint:   "endpoint-0",
			Release:    ident.Release{Model: "model-0", Version: ident.VersionID(fmt.Sprint(1 + n%2))},
			Team:       ident.TeamID(fmt.Sprintf("team-%d", n%b.size.Teams)),
			Outcome:    roll.Outcome{FirstToken: 300 * time.Millisecond},
			IsEvidence: true,
		})
	}
}

// publishChange delivers a new configuration if one is due at tick n.
func (b *testbed) publishChange(n int) {
	if b.size.Changes == 0 {
		return
	}
	every := int(time.Minute/controlTick) / b.size.Changes
	if n%every != 0 {
		return
	}
	next := *b.config
	next.Generation++
	b.config = &next
	b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: next.Generation}, Config: b.config})
}

// step measures one step of the control thread, including its view, and performs
// the resulting actions.
func (b *testbed) step(e ctrl.Event) {
	startedAt := time.Now()
	actions := b.control.Step(b.now, e)
	b.control.View(b.now)
	elapsed := time.Since(startedAt)
	b.longestStep = max(b.longestStep, elapsed)
	for _, a := range actions {
		b.handleAction(a)
	}
}

func (b *testbed) handleAction(a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		size, err := router.HeartbeatSize(a.Heartbeat)
		if err != nil {
			b.err = err
		}
		b.sent += int64(size)
		b.heartbeats++
		b.step(ctrl.HeartbeatAcked{Router: a.To, SentAt: b.now, Generation: b.config.Generation, Cursors: a.Cursors})
	case ctrl.ReadPlatform:
		rollout := ctrl.RolloutObject{Version: 1, State: fleet.RolloutState{Model: "model-0", To: "2", Entered: b.now}}
		b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: b.config.Generation}, Rollouts: []ctrl.RolloutObject{rollout}})
	}
}
