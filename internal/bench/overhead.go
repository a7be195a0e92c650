package bench

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/load"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

const (
	overheadRequests = 400
	overheadTokens   = 100 // per response
	overheadRounds   = 3
	// overheadBound is the share of the target latencies that the router may add.
	overheadBound    = 0.05
	targetFirstToken = 930.0 // ms
	targetInterToken = 44.0  // ms
)

// OverheadRow is the latency and CPU time of one path in one round.
type OverheadRow struct {
	Path          string  `json:"path"`
	FirstToken    float64 `json:"first"`   // p95 time to the first token, in ms
	InterToken    float64 `json:"between"` // p95 between tokens, in ms
	CPUPerRequest float64 `json:"request"` // CPU time per request, in ms
}

// benchOverhead sends the same requests to an engine directly and through a router
// in alternation, and compares latencies and CPU time. CPU time is that of the
// whole process, and includes the caller and the engine on both paths.
func benchOverhead(seed uint64) (Section, error) {
	spec := defaultCluster(1, 0)
	spec.Engines = engineSpecs(1, func(e *stand.EngineSpec) {
		e.Slots, e.MaxQueued = 64, 256
		e.Timing = stand.Timing{Iteration: 2 * time.Millisecond, PrefillRate: 1e9, PrefillChunk: 1 << 20}
	})
	spec.Slots = 64
	cluster, err := NewCluster(spec)
	if err != nil {
		return Section{}, err
	}
	defer cluster.Close()
	rows := map[string][]OverheadRow{}
	for round := range overheadRounds {
		for path, target := range map[string]string{"direct": cluster.EngineURL(0), "router": cluster.Targets()[0]} {
			row, err := measurePath(seed+uint64(round), cluster.Client, path, target, cluster.Team(0))
			if err != nil {
				return Section{}, err
			}
			rows[path] = append(rows[path], row)
		}
	}
	return overheadSection(rows), nil
}

func measurePath(seed uint64, client *http.Client, path, target string, team load.Team) (OverheadRow, error) {
	before := cpuTime()
	model := "condor"
	if path == "direct" {
		model = condorRelease.String()
	}
	result, err := load.NewRunner(client, nil).Run(context.Background(), load.Plan{
		Targets: []string{target}, Teams: []load.Team{team},
		Rate: 100, Process: load.ArrivalsFixed, Count: overheadRequests, Seed: seed,
		Mix: []load.RequestKind{{Name: "steady", Model: model, Weight: 1, PromptBytes: 400, MaxTokens: overheadTokens}},
	})
	if err != nil {
		return OverheadRow{}, fmt.Errorf("measuring %s: %w", path, err)
	}
	if result.All.Completed != overheadRequests {
		return OverheadRow{}, fmt.Errorf("measuring %s: only %d of %d responses were complete", path, result.All.Completed, overheadRequests)
	}
	used := cpuTime() - before
	return OverheadRow{
		Path:          path,
		FirstToken:    result.All.FirstChunk.P95,
		InterToken:    result.All.InterChunk.P95,
		CPUPerRequest: used.Seconds() * 1000 / overheadRequests,
	}, nil
}

// cpuTime returns the CPU time used by this process on all cores, or 0 if it cannot
// be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func overheadSection(rows map[string][]OverheadRow) Section {
	s := Section{
		Name:        "overhead",
		Description: fmt.Sprintf("100 requests/s of %d tokens each, direct and through one router, %d rounds in turns", overheadTokens, overheadRounds),
		Columns:     []string{"path", "round", "p95 first ms", "p95 between ms", "CPU ms/request"},
		Data:        rows,
	}
	for _, path := range []string{"direct", "router"} {
		for i, r := range rows[path] {
			s.Rows = append(s.Rows, []string{path, fmt.Sprint(i), formatNumber(r.FirstToken), formatNumber(r.InterToken), formatNumber(r.CPUPerRequest)})
		}
	}
	first := medianOf(rows["router"], firstTokenOf) - medianOf(rows["direct"], firstTokenOf)
	between := medianOf(rows["router"], interTokenOf) - medianOf(rows["direct"], interTokenOf)
	s.Bounds = []Bound{
		atMost("added to the first token at p95", first, targetFirstToken*overheadBound, "ms"),
		atMost("added between tokens at p95", between, targetInterToken*overheadBound, "ms"),
	}
	return s
}

func firstTokenOf(r OverheadRow) float64 { return r.FirstToken }
func interTokenOf(r OverheadRow) float64 { return r.InterToken }

// medianOf returns the median of a figure over the rounds.
func medianOf(rows []OverheadRow, of func(OverheadRow) float64) float64 {
	values := make([]time.Duration, 0, len(rows))
	for _, r := range rows {
		values = append(values, time.Duration(of(r)*float64(time.Millisecond)))
	}
	return float64(percentile(values, 0.5)) / float64(time.Millisecond)
}

const (
	streamCount  = 2000
	streamsBound = 64 << 10 // bytes per stream; 10,000 streams at the bound use 640 MB
)

// benchStreams opens slow streams, direct and through a router, and compares the
// memory of the process.
func benchStreams(uint64) (Section, error) {
	spec := defaultCluster(1, 0)
	spec.Engines = engineSpecs(1, func(e *stand.EngineSpec) {
		e.Slots, e.MaxQueued = streamCount+16, streamCount
		e.Timing = stand.Timing{Iteration: 20 * time.Millisecond, PrefillRate: 1e9, PrefillChunk: 1 << 20}
	})
	spec.Slots = 2 * streamCount
	cluster, err := NewCluster(spec)
	if err != nil {
		return Section{}, err
	}
	defer cluster.Close()
	direct, err := measureStreams(cluster, cluster.EngineURL(0), condorRelease.String())
	if err != nil {
		return Section{}, err
	}
	routed, err := measureStreams(cluster, cluster.Targets()[0], "condor")
	if err != nil {
		return Section{}, err
	}
	added := float64(routed) - float64(direct)
	return Section{
		Name:        "streams",
		Description: fmt.Sprintf("memory of the process with %d open streams, direct and through one router", streamCount),
		Columns:     []string{"path", "bytes/stream"},
		Rows:        [][]string{{"direct", fmt.Sprint(direct)}, {"router", fmt.Sprint(routed)}},
		Bounds:      []Bound{atMost("bytes that the router adds to an open stream", added, streamsBound, "bytes")},
		Data:        []uint64{direct, routed},
	}, nil
}

// measureStreams returns the bytes of memory per open stream in this process, on
// the caller's, the router's and the engine's side together.
func measureStreams(cluster *Cluster, target, model string) (uint64, error) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open, done sync.WaitGroup
	client := load.NewClient(time.Minute)
	open.Add(streamCount)
	done.Add(streamCount)
	arrivals := load.NewSchedule(load.Plan{
		Targets: []string{target}, Teams: []load.Team{cluster.Team(0)}, Rate: 1e6, Process: load.ArrivalsFixed, Count: streamCount, Seed: 1,
		Mix: []load.RequestKind{{Name: "open", Model: model, Weight: 1, PromptBytes: 200, MaxTokens: 100000}},
	})
	for arrival, ok := arrivals.Next(); ok; arrival, ok = arrivals.Next() {
		go func() {
			defer done.Done()
			time.AfterFunc(streamsOpenWait, open.Done)
			load.Send(ctx, client, arrival)
		}()
	}
	open.Wait()
	after := memoryInUse()
	cancel()
	done.Wait()
	client.CloseIdleConnections()
	return (after - min(before, after)) / streamCount, nil
}

// streamsOpenWait is the time after which all streams are open.
const streamsOpenWait = 6 * time.Second

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
