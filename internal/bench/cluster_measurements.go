package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// condor is the release of the sites' engines.
var condor = ident.Release{Model: "condor", Version: "1"}

// engines gives specs of engines that serve condor.
func engines(count int, change func(*stand.EngineSpec)) []stand.EngineSpec {
	specs := make([]stand.EngineSpec, 0, count)
	for i := range count {
		spec := stand.DefaultEngine(fmt.Sprintf("engine-%d", i), condor)
		change(&spec)
		specs = append(specs, spec)
	}
	return specs
}

func plainSite(routers, count int) SiteSpec {
	return SiteSpec{
		Routers:  routers,
		Engines:  engines(count, func(*stand.EngineSpec) {}),
		Versions: []ident.VersionID{"1"},
		Slots:    32,
		Cold:     4,
	}
}

const (
	publishRouters = 8
	publishRounds  = 30
	publishBound   = 5 // seconds, of the letter
)

// benchPublish measures the time from the order to a new configuration's being
// in force on every router.
func benchPublish(uint64) (Section, error) {
	site, err := NewSite(plainSite(publishRouters, 3))
	if err != nil {
		return Section{}, err
	}
	defer site.Close()
	took := make([]time.Duration, 0, publishRounds)
	for i := range publishRounds {
		ctx, cancel := context.WithTimeout(context.Background(), 3*publishBound*time.Second)
		began := time.Now()
		generation, err := site.SetZone(ctx, siteZones[0], i%2 == 0)
		if err == nil {
			err = site.Await(ctx, generation)
		}
		cancel()
		if err != nil {
			return Section{}, fmt.Errorf("publishing: %w", err)
		}
		took = append(took, time.Since(began))
	}
	p50, worst := percentile(took, 0.5), percentile(took, 1)
	return Section{
		Name:    "publish",
		About:   fmt.Sprintf("order to in force on %d of %d routers, %d changes one after another", publishRouters, publishRouters, publishRounds),
		Columns: []string{"p50 ms", "p95 ms", "max ms"},
		Rows:    [][]string{{millis(p50), millis(percentile(took, 0.95)), millis(worst)}},
		Bounds:  []Bound{atMost("slowest change", worst.Seconds(), publishBound, "s")},
		Data:    took,
	}, nil
}

const (
	callsIdle     = 5 * time.Second
	callsRequests = 400
	callsRate     = 100 // requests a second
)

// CallRow is what a fleet asks of the platform.
type CallRow struct {
	Routers int     `json:"routers"`
	Idle    float64 `json:"idle"`    // calls a second of the whole fleet
	Router  float64 `json:"router"`  // the same for each router
	Request float64 `json:"request"` // calls for each request beyond the idle ones
}

// benchCalls counts the platform's calls as the fleet grows.
func benchCalls(seed uint64) (Section, error) {
	s := Section{
		Name:    "calls",
		About:   "platform calls of idle fleets and of a load of 100 requests/s",
		Columns: []string{"routers", "idle calls/s", "each router", "calls/request"},
	}
	var rows []CallRow
	for _, routers := range []int{4, 8, 16, 24} {
		row, err := measureCalls(seed, routers)
		if err != nil {
			return Section{}, err
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{fmt.Sprint(routers), number(row.Idle), number(row.Router), number(row.Request)})
	}
	s.Data = rows
	last := rows[len(rows)-1]
	s.Bounds = []Bound{
		atMost("calls of each idle router at 24 against 8", last.Router, rows[1].Router, "calls/s"),
		atMost("calls for each request at 24 against 8", last.Request, rows[1].Request*1.25, "calls"),
	}
	return s, nil
}

func measureCalls(seed uint64, routers int) (CallRow, error) {
	site, err := NewSite(plainSite(routers, 3))
	if err != nil {
		return CallRow{}, err
	}
	defer site.Close()
	before := site.Store.Calls()
	time.Sleep(callsIdle)
	idle := float64(site.Store.Calls()-before) / callsIdle.Seconds()
	before = site.Store.Calls()
	began := time.Now()
	_, err = site.Load(context.Background(), load.Plan{
		Rate: callsRate, Process: load.ArrivalsPoisson, Count: callsRequests, Seed: seed,
		Mix: []load.RequestKind{{Name: "quick", Model: "condor", Weight: 1, PromptBytes: 200, MaxTokens: 8}},
	})
	if err != nil {
		return CallRow{}, err
	}
	loaded := float64(site.Store.Calls()-before) - idle*time.Since(began).Seconds()
	return CallRow{
		Routers: routers,
		Idle:    idle,
		Router:  idle / float64(routers),
		Request: max(0, loaded) / callsRequests,
	}, nil
}

// Load runs a plan over all routers of the site.
func (s *Site) Load(ctx context.Context, plan load.Plan) (load.Result, error) {
	plan.Targets = s.Targets()
	if len(plan.Teams) == 0 {
		plan.Teams = []load.Team{s.Team(0)}
	}
	result, err := load.NewRunner(s.Client, nil).Run(ctx, plan)
	if err != nil {
		return load.Result{}, fmt.Errorf("running load: %w", err)
	}
	return result, nil
}
