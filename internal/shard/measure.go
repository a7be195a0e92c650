package shard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Method is a way to store records in the platform.
type Method string

// The methods that Measure compares.
const (
	MethodJournal Method = "journal" // Journal
	MethodObject  Method = "object"  // one object per record
	MethodRewrite Method = "rewrite" // one object per shard, rewritten with each batch
)

// Workload describes the load of one measurement.
type Workload struct {
	Method        Method        `json:"method"`
	Routers       int           `json:"routers"`
	Shards        int           `json:"shards"`
	RingSize      int           `json:"ring"`     // batches per shard; half as many are between checkpoints
	BatchInterval time.Duration `json:"interval"` // nanoseconds between batches of a shard
	Rate          float64       `json:"rate"`     // offered bills per second, of all routers together
	Duration      time.Duration `json:"length"`   // nanoseconds
	CallDelay     time.Duration `json:"delay"`    // nanoseconds added to each platform call
	Seed          uint64        `json:"seed"`
}

// Measurement is the result of one workload.
type Measurement struct {
	Workload        Workload      `json:"load"`
	Records         int           `json:"records"` // that became durable
	Failed          int           `json:"failed"`
	WritesPerRecord float64       `json:"writes"`   // platform calls
	ReadsPerRecord  float64       `json:"reads"`    // platform calls
	BytesPerRecord  float64       `json:"bytes"`    // written
	WritesPerSecond float64       `json:"second"`   // until the last record was durable
	MedianLatency   time.Duration `json:"median"`   // nanoseconds until a record was durable
	P99Latency      time.Duration `json:"high"`     // nanoseconds until a record was durable
	Complete        bool          `json:"complete"` // as many bills were read back as were acknowledged
}

// DefaultWorkloads returns workloads that vary the rate, the number of shards, the
// batch interval, the ring size and the number of routers one at a time, and the
// same workload for each baseline method.
func DefaultWorkloads(seed uint64) []Workload {
	base := Workload{
		Method: MethodJournal, Routers: 8, Shards: 16, RingSize: 16, BatchInterval: 80 * time.Millisecond, Rate: 1000,
		Duration: 3 * time.Second, CallDelay: 2 * time.Millisecond, Seed: seed,
	}
	var workloads []Workload
	add := func(edit func(*Workload)) {
		w := base
		edit(&w)
		workloads = append(workloads, w)
	}
	for _, rate := range []float64{100, 300, 1000, 1900, 4000} {
		add(func(w *Workload) { w.Rate = rate })
	}
	for _, shards := range []int{4, 64} {
		add(func(w *Workload) { w.Shards = shards })
	}
	for _, interval := range []time.Duration{20, 40, 160} {
		add(func(w *Workload) { w.BatchInterval = interval * time.Millisecond })
	}
	add(func(w *Workload) { w.RingSize = 64 })
	for _, routers := range []int{16, 32} {
		add(func(w *Workload) { w.Routers = routers })
	}
	for _, method := range []Method{MethodObject, MethodRewrite} {
		add(func(w *Workload) { w.Method = method })
	}
	return workloads
}

// Measure runs one workload against an in-memory platform and counts the platform
// calls.
func Measure(ctx context.Context, workload Workload) (Measurement, error) {
	memory := plat.NewMemory(nil)
	writer, stop, err := newWriter(ctx, workload, delayedPlatform{memory, workload.CallDelay})
	if err != nil {
		return Measurement{}, err
	}
	before, start := memory.Usage(), time.Now()
	times, failed := generateLoad(ctx, workload, writer)
	after, took := memory.Usage(), time.Since(start)
	stop()
	result := Measurement{Workload: workload, Records: len(times), Failed: failed}
	if len(times) == 0 {
		return result, fmt.Errorf("method %q at %.0f records/s: no record became durable", workload.Method, workload.Rate)
	}
	n := float64(len(times))
	result.WritesPerRecord = float64(after.Writes-before.Writes) / n
	result.ReadsPerRecord = float64(after.Reads-before.Reads) / n
	result.BytesPerRecord = float64(after.BytesWritten-before.BytesWritten) / n
	result.WritesPerSecond = float64(after.Writes-before.Writes) / took.Seconds()
	result.MedianLatency, result.P99Latency = quantile(times, 0.5), quantile(times, 0.99)
	found, err := writer.count(ctx, memory)
	if err != nil {
		return result, err
	}
	result.Complete = found == len(times)
	return result, nil
}

// writer stores bills by one of the methods that Measure compares.
type writer interface {
	write(ctx context.Context, router int, bill Bill) error
	count(ctx context.Context, platform plat.Platform) (int, error)
}

// generateLoad writes bills at the workload's rate, whether or not earlier ones are
// durable. It returns the time that each durable bill took from its intended start,
// and the number of failed bills.
func generateLoad(ctx context.Context, workload Workload, w writer) ([]time.Duration, int) {
	random := rand.New(rand.NewPCG(workload.Seed, 0))
	var lock sync.Mutex
	var times []time.Duration
	var failed atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	total := int(workload.Rate * workload.Duration.Seconds())
	for i := range total {
		at := start.Add(time.Duration(float64(i) / workload.Rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		router := random.IntN(workload.Routers)
		group.Go(func() {
			if w.write(ctx, router, sampleBill(i, at)) != nil {
				failed.Add(1)
				return
			}
			took := time.Since(at)
			lock.Lock()
			times = append(times, took)
			lock.Unlock()
		})
	}
	group.Wait()
	return times, int(failed.Load())
}

// routerGroup writes through the journals of several routers and forwards between
// them.
type routerGroup struct {
	journals map[ident.RouterID]*Journal
	ids      []ident.RouterID
}

func newWriter(ctx context.Context, workload Workload, platform plat.Platform) (writer, func(), error) {
	switch workload.Method {
	case MethodObject:
		return objectWriter{platform}, func() {}, nil
	case MethodRewrite:
		return newRewriteWriter(ctx, workload, platform)
	case MethodJournal:
		return newRouterGroup(ctx, workload, platform)
	default:
		return nil, nil, fmt.Errorf("method %q does not exist", workload.Method)
	}
}

func newRouterGroup(ctx context.Context, workload Workload, platform plat.Platform) (writer, func(), error) {
	settings := Defaults()
	settings.Shards, settings.RingSize, settings.BatchInterval = workload.Shards, workload.RingSize, workload.BatchInterval
	ctx, cancel := context.WithCancel(ctx)
	g := &routerGroup{journals: map[ident.RouterID]*Journal{}}
	for i := range workload.Routers {
		g.ids = append(g.ids, ident.RouterID(fmt.Sprintf("router-%03d", i)))
	}
	var running sync.WaitGroup
	for _, name := range g.ids {
		j := New(name, settings, platform, g, time.Now, metrics.NewRegistry(), zap.NewNop())
		j.SetRouters(g.ids)
		g.journals[name] = j
		running.Go(func() { _ = j.Run(ctx) })
	}
	stop := func() {
		cancel()
		running.Wait()
	}
	return g, stop, g.awaitReady(ctx)
}

// awaitReady waits until every journal has verified its layout.
func (g *routerGroup) awaitReady(ctx context.Context) error {
	for _, j := range g.journals {
		for !j.layoutVerified.Load() {
			if ctx.Err() != nil {
				return fmt.Errorf("wait for the journals to verify their layout: %w", ctx.Err())
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Propose implements Forwarder by calling the owner's journal.
func (g *routerGroup) Propose(ctx context.Context, owner ident.RouterID, _ ID, record Record) (Result, error) {
	return g.journals[owner].Propose(ctx, record)
}

func (g *routerGroup) write(ctx context.Context, router int, bill Bill) error {
	return g.journals[g.ids[router]].Bill(ctx, bill)
}

func (g *routerGroup) count(ctx context.Context, platform plat.Platform) (int, error) {
	bills, err := ReadBills(ctx, platform)
	return len(bills), err
}

// delayedPlatform adds a delay to each Get, List and Put.
type delayedPlatform struct {
	plat.Platform
	delay time.Duration
}

func (d delayedPlatform) Get(ctx context.Context, class plat.Class, key plat.Key) (plat.Object, error) {
	time.Sleep(d.delay)
	return d.Platform.Get(ctx, class, key)
}

func (d delayedPlatform) List(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, error) {
	time.Sleep(d.delay)
	return d.Platform.List(ctx, class, prefix)
}

func (d delayedPlatform) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	time.Sleep(d.delay)
	return d.Platform.Put(ctx, class, key, value, expect)
}

// sampleBill returns a bill of typical size.
func sampleBill(i int, at time.Time) Bill {
	return Bill{
		Key:     ident.RequestKey{Team: "coordinators-lima", Request: ident.RequestID(fmt.Sprintf("7f9c2b1e-%08d", i))},
		Release: ident.Release{Model: "ledger-large", Version: "2026-11-03"},
		Prompt:  1800, Answer: 480, Cost: 2280, At: at.UTC(), Attempts: 1,
	}
}
