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

// Method is a way to keep records in the platform.
type Method string

// The methods that Measure compares.
const (
	MethodJournal Method = "journal" // this package
	MethodObject  Method = "object"  // one object for each record
	MethodRewrite Method = "rewrite" // one object for each shard, rewritten with each batch
)

// Load is what one measurement puts on the platform.
type Load struct {
	Method   Method        `json:"method"`
	Routers  int           `json:"routers"`
	Shards   int           `json:"shards"`
	Ring     int           `json:"ring"`     // batches kept per shard; half as many lie between checkpoints
	Interval time.Duration `json:"interval"` // nanoseconds, between batches of a shard
	Rate     float64       `json:"rate"`     // bills a second offered, over all routers
	Length   time.Duration `json:"length"`   // nanoseconds, of the measurement
	Delay    time.Duration `json:"delay"`    // nanoseconds, of each call to the platform
	Seed     uint64        `json:"seed"`
}

// Row is the result of one measurement.
type Row struct {
	Load     Load          `json:"load"`
	Records  int           `json:"records"` // durable
	Failed   int           `json:"failed"`
	Writes   float64       `json:"writes"`   // calls for each record
	Reads    float64       `json:"reads"`    // calls for each record
	Bytes    float64       `json:"bytes"`    // written for each record
	Second   float64       `json:"second"`   // writes a second, until the last record is durable
	Median   time.Duration `json:"median"`   // nanoseconds, until a record is durable
	High     time.Duration `json:"high"`     // nanoseconds, the 99th percentile of the same
	Complete bool          `json:"complete"` // whether the bills read back are those acknowledged
}

// DefaultLoads vary the rate, the shards and the interval around eight routers,
// and the number of routers; the baselines stand beside them.
func DefaultLoads(seed uint64) []Load {
	base := Load{
		Method: MethodJournal, Routers: 8, Shards: 16, Ring: 16, Interval: 80 * time.Millisecond, Rate: 1000,
		Length: 3 * time.Second, Delay: 2 * time.Millisecond, Seed: seed,
	}
	var loads []Load
	add := func(edit func(*Load)) {
		l := base
		edit(&l)
		loads = append(loads, l)
	}
	for _, rate := range []float64{100, 300, 1000, 1900, 4000} {
		add(func(l *Load) { l.Rate = rate })
	}
	for _, shards := range []int{4, 64} {
		add(func(l *Load) { l.Shards = shards })
	}
	for _, interval := range []time.Duration{20, 40, 160} {
		add(func(l *Load) { l.Interval = interval * time.Millisecond })
	}
	add(func(l *Load) { l.Ring = 64 })
	for _, routers := range []int{16, 32} {
		add(func(l *Load) { l.Routers = routers })
	}
	for _, method := range []Method{MethodObject, MethodRewrite} {
		add(func(l *Load) { l.Method = method })
	}
	return loads
}

// Measure runs one load against a platform within the process, and counts what
// the platform was asked for.
func Measure(ctx context.Context, load Load) (Row, error) {
	memory := plat.NewMemory(nil)
	writer, stop, err := newWriter(ctx, load, delayed{memory, load.Delay})
	if err != nil {
		return Row{}, err
	}
	before, begin := memory.Usage(), time.Now()
	times, failed := offer(ctx, load, writer)
	after, took := memory.Usage(), time.Since(begin)
	stop()
	row := Row{Load: load, Records: len(times), Failed: failed}
	if len(times) == 0 {
		return row, fmt.Errorf("%s at %.0f a second: no record became durable", load.Method, load.Rate)
	}
	n := float64(len(times))
	row.Writes = float64(after.Writes-before.Writes) / n
	row.Reads = float64(after.Reads-before.Reads) / n
	row.Bytes = float64(after.BytesWritten-before.BytesWritten) / n
	row.Second = float64(after.Writes-before.Writes) / took.Seconds()
	row.Median, row.High = quantile(times, 0.5), quantile(times, 0.99)
	found, err := writer.count(ctx, memory)
	if err != nil {
		return row, err
	}
	row.Complete = found == len(times)
	return row, nil
}

// writer makes bills durable in one of the ways that Measure compares.
type writer interface {
	write(ctx context.Context, router int, bill Bill) error
	count(ctx context.Context, platform plat.Platform) (int, error)
}

// offer issues bills at the load's rate, whether or not earlier ones are
// durable, and gives the time that each took from its intended start.
func offer(ctx context.Context, load Load, w writer) ([]time.Duration, int) {
	random := rand.New(rand.NewPCG(load.Seed, 0))
	var lock sync.Mutex
	var times []time.Duration
	var failed atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	total := int(load.Rate * load.Length.Seconds())
	for i := range total {
		at := begin.Add(time.Duration(float64(i) / load.Rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		router := random.IntN(load.Routers)
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

// fleet writes through the journals of several routers.
type fleet struct {
	journals map[ident.RouterID]*Journal
	names    []ident.RouterID
}

func newWriter(ctx context.Context, load Load, platform plat.Platform) (writer, func(), error) {
	switch load.Method {
	case MethodObject:
		return objects{platform}, func() {}, nil
	case MethodRewrite:
		return newRewriter(ctx, load, platform)
	case MethodJournal:
		return newFleet(ctx, load, platform)
	default:
		return nil, nil, fmt.Errorf("method %q is not known", load.Method)
	}
}

func newFleet(ctx context.Context, load Load, platform plat.Platform) (writer, func(), error) {
	settings := Defaults()
	settings.Shards, settings.Ring, settings.Interval = load.Shards, load.Ring, load.Interval
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{journals: map[ident.RouterID]*Journal{}}
	for i := range load.Routers {
		f.names = append(f.names, ident.RouterID(fmt.Sprintf("router-%03d", i)))
	}
	var running sync.WaitGroup
	for _, name := range f.names {
		j := New(name, settings, platform, f, time.Now, metrics.NewRegistry(), zap.NewNop())
		j.SetRouters(f.names)
		f.journals[name] = j
		running.Go(func() { _ = j.Run(ctx) })
	}
	stop := func() {
		cancel()
		running.Wait()
	}
	return f, stop, f.warm(ctx)
}

// warm has every router wait until it may write.
func (f *fleet) warm(ctx context.Context) error {
	for _, j := range f.journals {
		for !j.agreed.Load() {
			if ctx.Err() != nil {
				return fmt.Errorf("wait for the journals: %w", ctx.Err())
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Propose hands the record to the owner's journal.
func (f *fleet) Propose(ctx context.Context, owner ident.RouterID, _ ID, record Record) (Result, error) {
	return f.journals[owner].Propose(ctx, record)
}

func (f *fleet) write(ctx context.Context, router int, bill Bill) error {
	return f.journals[f.names[router]].Bill(ctx, bill)
}

func (f *fleet) count(ctx context.Context, platform plat.Platform) (int, error) {
	bills, err := ReadBills(ctx, platform)
	return len(bills), err
}

// delayed adds a delay to the calls of a platform.
type delayed struct {
	plat.Platform
	delay time.Duration
}

func (d delayed) Get(ctx context.Context, class plat.Class, key plat.Key) (plat.Object, error) {
	time.Sleep(d.delay)
	return d.Platform.Get(ctx, class, key)
}

func (d delayed) List(ctx context.Context, class plat.Class, prefix plat.Key) ([]plat.Object, error) {
	time.Sleep(d.delay)
	return d.Platform.List(ctx, class, prefix)
}

func (d delayed) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	time.Sleep(d.delay)
	return d.Platform.Put(ctx, class, key, value, expect)
}

// sampleBill gives a bill of usual size.
func sampleBill(i int, at time.Time) Bill {
	return Bill{
		Key:     ident.RequestKey{Team: "coordinators-lima", Request: ident.RequestID(fmt.Sprintf("7f9c2b1e-%08d", i))},
		Release: ident.Release{Model: "ledger-large", Version: "2026-11-03"},
		Prompt:  1800, Answer: 480, Cost: 2280, At: at.UTC(), Attempts: 1,
	}
}
