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
	controlTick   = 50 * time.Millisecond
	controlReport = 250 * time.Millisecond
	controlBeat   = 500 * time.Millisecond
	controlSpan   = 10 * time.Second // of the fleet's time that one case covers
)

// Fleet is the size of the world that one control thread is shown.
type Fleet struct {
	Routers   int `json:"routers"`
	Endpoints int `json:"endpoints"`
	Models    int `json:"models"`
	Teams     int `json:"teams"`
	Changes   int `json:"changes"`  // configurations a minute
	Requests  int `json:"requests"` // a second, on this router
}

// ControlRow is what one control thread costs at a size.
type ControlRow struct {
	Fleet  Fleet         `json:"fleet"`
	CPU    float64       `json:"cpu"`    // share of a core, that of showing the world included
	Sent   float64       `json:"sent"`   // bytes of heartbeats a second
	Beats  float64       `json:"beats"`  // heartbeats sent a second
	State  uint64        `json:"state"`  // bytes
	Stall  time.Duration `json:"stall"`  // longest single step
	Allocs float64       `json:"allocs"` // a second
}

// Control measures one control thread among peers that answer at once, over
// sizes that differ in one dimension at a time.
func Control(seed uint64) ([]ControlRow, error) {
	var rows []ControlRow
	for _, f := range controlSizes() {
		row, err := measureControl(seed, f)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// controlSizes varies one dimension after the other around today's size.
func controlSizes() []Fleet {
	today := Fleet{Routers: 8, Endpoints: 16, Models: 3, Teams: 10, Changes: 2, Requests: 5}
	var sizes []Fleet
	vary := func(set func(*Fleet, int), values ...int) {
		for _, v := range values {
			f := today
			set(&f, v)
			sizes = append(sizes, f)
		}
	}
	vary(func(f *Fleet, v int) { f.Routers = v }, 8, 45, 90, 180, 360)
	vary(func(f *Fleet, v int) { f.Endpoints = v }, 16, 100, 400, 800, 1500)
	vary(func(f *Fleet, v int) { f.Models = v }, 3, 7, 14, 21)
	vary(func(f *Fleet, v int) { f.Changes = v }, 0, 2, 10, 60)
	vary(func(f *Fleet, v int) { f.Requests = v }, 0, 5, 50, 240)
	return sizes
}

// bed is a control thread with the world it is shown.
type bed struct {
	fleet   Fleet
	control *ctrl.Control
	now     time.Time
	config  *fleet.Config
	peers   []fleet.Router
	sent    int64
	beats   int64
	stall   time.Duration
	err     error
}

func measureControl(seed uint64, f Fleet) (ControlRow, error) {
	before := heap()
	b := newBed(seed, f)
	b.warm()
	state := heap() - min(before, heap())
	var start, end runtime.MemStats
	runtime.ReadMemStats(&start)
	used := processorTime()
	b.run(controlSpan)
	used = processorTime() - used
	runtime.ReadMemStats(&end)
	if b.err != nil {
		return ControlRow{}, fmt.Errorf("control thread among %d routers: %w", f.Routers, b.err)
	}
	span := controlSpan.Seconds()
	return ControlRow{
		Fleet:  f,
		CPU:    used.Seconds() / span,
		Sent:   float64(b.sent) / span,
		Beats:  float64(b.beats) / span,
		State:  state,
		Stall:  b.stall,
		Allocs: float64(end.Mallocs-start.Mallocs) / span,
	}, nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func newBed(seed uint64, f Fleet) *bed {
	start := time.Unix(int64(1_800_000_000+seed%1000), 0)
	self := fleet.Router{ID: "router-0", Zone: "zone-0", Peer: "peer-0"}
	b := &bed{
		fleet:   f,
		control: ctrl.New(self, ctrl.DefaultSettings(controlBeat), start),
		now:     start,
		config:  newConfig(f),
	}
	for i := 1; i < f.Routers; i++ {
		b.peers = append(b.peers, fleet.Router{
			ID:   ident.RouterID(fmt.Sprintf("router-%d", i)),
			Zone: ident.ZoneID(fmt.Sprintf("zone-%d", i%zonesOf(f))),
			Peer: fmt.Sprintf("peer-%d", i),
		})
	}
	return b
}

func zonesOf(f Fleet) int {
	return max(3, min(17, f.Routers/20))
}

func newConfig(f Fleet) *fleet.Config {
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
	for i := range zonesOf(f) {
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
			Zone:      ident.ZoneID(fmt.Sprintf("zone-%d", i%zonesOf(f))),
			Address:   fmt.Sprintf("address-%d", i),
			Release:   ident.Release{Model: ident.ModelID(fmt.Sprintf("model-%d", i%f.Models)), Version: "1"},
			Slots:     32,
			ColdSlots: 4,
		}
	}
	return c
}

// warm brings the control thread to its usual state.
func (b *bed) warm() {
	b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: 1}, Config: b.config})
	instances := make([]plat.Instance, 0, len(b.peers))
	for _, p := range b.peers {
		instances = append(instances, plat.Instance{ID: string(p.ID), Zone: string(p.Zone), Address: p.Peer})
	}
	b.step(ctrl.InstancesListed{Instances: instances})
	b.run(3 * time.Second)
	b.sent, b.beats, b.stall = 0, 0, 0
}

// run lets time pass with everything that a live fleet brings.
func (b *bed) run(span time.Duration) {
	for n := 1; n <= int(span/controlTick); n++ {
		b.now = b.now.Add(controlTick)
		if n%int(b.control.TickInterval()/controlTick) == 0 {
			b.step(ctrl.Tick{})
		}
		b.hear(n)
		b.report(n)
		b.serve(n)
		b.change(n)
	}
}

// hear brings the peers' heartbeats, spread evenly over their interval.
func (b *bed) hear(n int) {
	every := int(controlBeat / controlTick)
	if !gossip.AllPairs(b.fleet.Routers) {
		every = int(gossip.Interval(b.fleet.Routers)/controlTick) * len(b.peers)
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

func (b *bed) report(n int) {
	every := int(controlReport / controlTick)
	for i := n % every; i < b.fleet.Endpoints; i += every {
		id := ident.EndpointID(fmt.Sprintf("endpoint-%d", i))
		load := engine.Load{Report: fleet.Report{Boot: "1", Warm: true, Running: n % 8}}
		b.step(ctrl.LoadReported{Endpoint: id, RequestedAt: b.now, Load: load})
	}
}

// serve brings the outcomes of this router's own requests.
func (b *bed) serve(n int) {
	perTick := float64(b.fleet.Requests) * controlTick.Seconds()
	for range int(perTick*float64(n)) - int(perTick*float64(n-1)) {
		b.step(ctrl.AttemptEnded{
			Endpoint:   "endpoint-0",
			Release:    ident.Release{Model: "model-0", Version: ident.VersionID(fmt.Sprint(1 + n%2))},
			Team:       ident.TeamID(fmt.Sprintf("team-%d", n%b.fleet.Teams)),
			Outcome:    roll.Outcome{FirstToken: 300 * time.Millisecond},
			IsEvidence: true,
		})
	}
}

// change brings new configurations.
func (b *bed) change(n int) {
	if b.fleet.Changes == 0 {
		return
	}
	every := int(time.Minute/controlTick) / b.fleet.Changes
	if n%every != 0 {
		return
	}
	next := *b.config
	next.Generation++
	b.config = &next
	b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: next.Generation}, Config: b.config})
}

// step times one step with its view, and answers what the thread asks for.
func (b *bed) step(e ctrl.Event) {
	began := time.Now()
	actions := b.control.Step(b.now, e)
	b.control.View(b.now)
	took := time.Since(began)
	b.stall = max(b.stall, took)
	for _, a := range actions {
		b.answer(a)
	}
}

func (b *bed) answer(a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendHeartbeat:
		size, err := router.HeartbeatSize(a.Heartbeat)
		if err != nil {
			b.err = err
		}
		b.sent += int64(size)
		b.beats++
		b.step(ctrl.HeartbeatAcked{Router: a.To, SentAt: b.now, Generation: b.config.Generation, Cursors: a.Cursors})
	case ctrl.ReadPlatform:
		rollout := ctrl.RolloutObject{Version: 1, State: fleet.RolloutState{Model: "model-0", To: "2", Entered: b.now}}
		b.step(ctrl.PlatformRead{RequestedAt: b.now, Head: plat.Head{Generation: b.config.Generation}, Rollouts: []ctrl.RolloutObject{rollout}})
	}
}
