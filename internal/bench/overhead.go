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
	overheadTokens   = 100 // of each answer
	overheadRounds   = 3
	// overheadBound is the share of the letter's times that the router may add.
	overheadBound = 0.05
	letterFirst   = 930.0 // ms
	letterBetween = 44.0  // ms
)

// OverheadRow compares one path with going direct.
type OverheadRow struct {
	Path    string  `json:"path"`
	First   float64 `json:"first"`   // p95 time to the first token, in ms
	Between float64 `json:"between"` // p95 between tokens, in ms
	Request float64 `json:"request"` // processor time for each request, in ms
}

// benchOverhead sends the same requests to an engine directly and through a
// router, in turns, and compares latencies and the processor time of the whole
// process, which the caller and the engine take part in both times.
func benchOverhead(seed uint64) (Section, error) {
	spec := plainSite(1, 0)
	spec.Engines = engines(1, func(e *stand.EngineSpec) {
		e.Slots, e.Queue = 64, 256
		e.Pace = stand.Pace{Base: 2 * time.Millisecond, Prefill: 1e9, Chunk: 1 << 20}
	})
	spec.Slots = 64
	site, err := NewSite(spec)
	if err != nil {
		return Section{}, err
	}
	defer site.Close()
	rows := map[string][]OverheadRow{}
	for round := range overheadRounds {
		for path, target := range map[string]string{"direct": site.EngineURL(0), "router": site.Targets()[0]} {
			row, err := measurePath(seed+uint64(round), site.Client, path, target, site.Team(0))
			if err != nil {
				return Section{}, err
			}
			rows[path] = append(rows[path], row)
		}
	}
	return overheadSection(rows), nil
}

func measurePath(seed uint64, client *http.Client, path, target string, team load.Team) (OverheadRow, error) {
	before := processorTime()
	model := "condor"
	if path == "direct" {
		model = condor.String()
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
		return OverheadRow{}, fmt.Errorf("measuring %s: only %d of %d answers were whole", path, result.All.Completed, overheadRequests)
	}
	used := processorTime() - before
	return OverheadRow{
		Path:    path,
		First:   result.All.FirstChunk.P95,
		Between: result.All.InterChunk.P95,
		Request: used.Seconds() * 1000 / overheadRequests,
	}, nil
}

// processorTime gives the time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func overheadSection(rows map[string][]OverheadRow) Section {
	s := Section{
		Name:    "overhead",
		About:   fmt.Sprintf("100 requests/s of %d tokens each, direct and through one router, %d rounds in turns", overheadTokens, overheadRounds),
		Columns: []string{"path", "round", "p95 first ms", "p95 between ms", "CPU ms/request"},
		Data:    rows,
	}
	for _, path := range []string{"direct", "router"} {
		for i, r := range rows[path] {
			s.Rows = append(s.Rows, []string{path, fmt.Sprint(i), number(r.First), number(r.Between), number(r.Request)})
		}
	}
	first := middle(rows["router"], firstOf) - middle(rows["direct"], firstOf)
	between := middle(rows["router"], betweenOf) - middle(rows["direct"], betweenOf)
	s.Bounds = []Bound{
		atMost("added to the first token at p95", first, letterFirst*overheadBound, "ms"),
		atMost("added between tokens at p95", between, letterBetween*overheadBound, "ms"),
	}
	return s
}

func firstOf(r OverheadRow) float64   { return r.First }
func betweenOf(r OverheadRow) float64 { return r.Between }

// middle gives the median of a figure over the rounds.
func middle(rows []OverheadRow, of func(OverheadRow) float64) float64 {
	values := make([]time.Duration, 0, len(rows))
	for _, r := range rows {
		values = append(values, time.Duration(of(r)*float64(time.Millisecond)))
	}
	return float64(percentile(values, 0.5)) / float64(time.Millisecond)
}

const (
	streamsCount = 2000
	streamsBound = 64 << 10 // bytes; 10,000 streams at the bound would take 640 MB
)

// benchStreams opens streams that stall, direct and through a router, and
// compares the memory of the process.
func benchStreams(uint64) (Section, error) {
	spec := plainSite(1, 0)
	spec.Engines = engines(1, func(e *stand.EngineSpec) {
		e.Slots, e.Queue = streamsCount+16, streamsCount
		e.Pace = stand.Pace{Base: 20 * time.Millisecond, Prefill: 1e9, Chunk: 1 << 20}
	})
	spec.Slots = 2 * streamsCount
	site, err := NewSite(spec)
	if err != nil {
		return Section{}, err
	}
	defer site.Close()
	direct, err := measureStreams(site, site.EngineURL(0), condor.String())
	if err != nil {
		return Section{}, err
	}
	routed, err := measureStreams(site, site.Targets()[0], "condor")
	if err != nil {
		return Section{}, err
	}
	added := float64(routed) - float64(direct)
	return Section{
		Name:    "streams",
		About:   fmt.Sprintf("memory of the process with %d open streams, direct and through one router", streamsCount),
		Columns: []string{"path", "bytes/stream"},
		Rows:    [][]string{{"direct", fmt.Sprint(direct)}, {"router", fmt.Sprint(routed)}},
		Bounds:  []Bound{atMost("bytes that the router adds to an open stream", added, streamsBound, "bytes")},
		Data:    []uint64{direct, routed},
	}, nil
}

// measureStreams gives the bytes that each open stream takes in this process,
// on the caller's, the router's and the engine's side together.
func measureStreams(site *Site, target, model string) (uint64, error) {
	before := footprint()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open, done sync.WaitGroup
	client := load.NewClient(time.Minute)
	open.Add(streamsCount)
	done.Add(streamsCount)
	arrivals := load.NewSchedule(load.Plan{
		Targets: []string{target}, Teams: []load.Team{site.Team(0)}, Rate: 1e6, Process: load.ArrivalsFixed, Count: streamsCount, Seed: 1,
		Mix: []load.RequestKind{{Name: "open", Model: model, Weight: 1, PromptBytes: 200, MaxTokens: 100000}},
	})
	for arrival, ok := arrivals.Next(); ok; arrival, ok = arrivals.Next() {
		go func() {
			defer done.Done()
			time.AfterFunc(streamsOpen, open.Done)
			load.Send(ctx, client, arrival)
		}()
	}
	open.Wait()
	after := footprint()
	cancel()
	done.Wait()
	client.CloseIdleConnections()
	return (after - min(before, after)) / streamsCount, nil
}

// streamsOpen is the time in which all streams have opened.
const streamsOpen = 6 * time.Second

// footprint gives the bytes of heap and stacks in use.
func footprint() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
