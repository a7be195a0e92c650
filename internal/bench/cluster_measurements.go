package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// condorRelease is the release of the clusters' engines.
var condorRelease = ident.Release{Model: "condor", Version: "1"}

// engineSpecs returns specs of engines that serve condorRelease.
func engineSpecs(count int, modify func(*stand.EngineSpec)) []stand.EngineSpec {
	specs := make([]stand.EngineSpec, 0, count)
	for i := range count {
		spec := stand.DefaultEngineSpec(fmt.Sprintf("engine-%d", i), condorRelease)
		modify(&spec)
		specs = append(specs, spec)
	}
	return specs
}

func defaultCluster(routers, count int) ClusterSpec {
	return ClusterSpec{
		Routers:  routers,
		Engines:  engineSpecs(count, func(*stand.EngineSpec) {}),
		Versions: []ident.VersionID{"1"},
		Slots:    32,
		Cold:     4,
	}
}

const (
	publishRouters = 8
	publishRounds  = 30
	publishBound   = 5 // seconds
)

// benchPublish measures the time from a change until it is in force on every
// router.
func benchPublish(uint64) (Section, error) {
	cluster, err := NewCluster(defaultCluster(publishRouters, 3))
	if err != nil {
		return Section{}, err
	}
	defer cluster.Close()
	durations := make([]time.Duration, 0, publishRounds)
	for i := range publishRounds {
		ctx, cancel := context.WithTimeout(context.Background(), 3*publishBound*time.Second)
		startedAt := time.Now()
		generation, err := cluster.SetZone(ctx, clusterZones[0], i%2 == 0)
		if err == nil {
			err = cluster.Await(ctx, generation)
		}
		cancel()
		if err != nil {
			return Section{}, fmt.Errorf("publishing: %w", err)
		}
		durations = append(durations, time.Since(startedAt))
	}
	p50, slowest := percentile(durations, 0.5), percentile(durations, 1)
	return Section{
		Name:        "publish",
		Description: fmt.Sprintf("order to in force on %d of %d routers, %d changes one after another", publishRouters, publishRouters, publishRounds),
		Columns:     []string{"p50 ms", "p95 ms", "max ms"},
		Rows:        [][]string{{formatMillis(p50), formatMillis(percentile(durations, 0.95)), formatMillis(slowest)}},
		Bounds:      []Bound{atMost("slowest change", slowest.Seconds(), publishBound, "s")},
		Data:        durations,
	}, nil
}

const (
	callsIdle     = 5 * time.Second
	callsRequests = 400
	callsRate     = 100 // requests per second
)

// CallRow is the platform call rate of a fleet.
type CallRow struct {
	Routers            int     `json:"routers"`
	IdleCalls          float64 `json:"idle"`    // calls per second of the whole fleet
	IdleCallsPerRouter float64 `json:"router"`  // the same per router
	CallsPerRequest    float64 `json:"request"` // calls per request, less the idle ones
}

// benchCalls measures platform calls by fleet size.
func benchCalls(seed uint64) (Section, error) {
	s := Section{
		Name:        "calls",
		Description: "platform calls of idle fleets and of a load of 100 requests/s",
		Columns:     []string{"routers", "idle calls/s", "each router", "calls/request"},
	}
	var rows []CallRow
	for _, routers := range []int{4, 8, 16, 24} {
		row, err := measureCalls(seed, routers)
		if err != nil {
			return Section{}, err
		}
		rows = append(rows, row)
		s.Rows = append(s.Rows, []string{fmt.Sprint(routers), formatNumber(row.IdleCalls), formatNumber(row.IdleCallsPerRouter), formatNumber(row.CallsPerRequest)})
	}
	s.Data = rows
	last := rows[len(rows)-1]
	s.Bounds = []Bound{
		atMost("calls of each idle router at 24 against 8", last.IdleCallsPerRouter, rows[1].IdleCallsPerRouter, "calls/s"),
		atMost("calls for each request at 24 against 8", last.CallsPerRequest, rows[1].CallsPerRequest*1.25, "calls"),
	}
	return s, nil
}

func measureCalls(seed uint64, routers int) (CallRow, error) {
	cluster, err := NewCluster(defaultCluster(routers, 3))
	if err != nil {
		return CallRow{}, err
	}
	defer cluster.Close()
	before := cluster.Store.Calls()
	time.Sleep(callsIdle)
	idle := float64(cluster.Store.Calls()-before) / callsIdle.Seconds()
	before = cluster.Store.Calls()
	startedAt := time.Now()
	_, err = cluster.Load(context.Background(), load.Plan{
		Rate: callsRate, Process: load.ArrivalsPoisson, Count: callsRequests, Seed: seed,
		Mix: []load.RequestKind{{Name: "quick", Model: "condor", Weight: 1, PromptBytes: 200, MaxTokens: 8}},
	})
	if err != nil {
		return CallRow{}, err
	}
	loaded := float64(cluster.Store.Calls()-before) - idle*time.Since(startedAt).Seconds()
	return CallRow{
		Routers:            routers,
		IdleCalls:          idle,
		IdleCallsPerRouter: idle / float64(routers),
		CallsPerRequest:    max(0, loaded) / callsRequests,
	}, nil
}

// Load runs a plan against all routers of the cluster.
func (c *Cluster) Load(ctx context.Context, plan load.Plan) (load.Result, error) {
	plan.Targets = c.Targets()
	if len(plan.Teams) == 0 {
		plan.Teams = []load.Team{c.Team(0)}
	}
	result, err := load.NewRunner(c.Client, nil).Run(ctx, plan)
	if err != nil {
		return load.Result{}, fmt.Errorf("running load: %w", err)
	}
	return result, nil
}
