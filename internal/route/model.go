package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The measured queue model: endpoints that serve a number of requests at once,
// each for its prefill and its answer, and routers that see them late.
const (
	modelRouters   = 8
	modelEndpoints = 12
	modelZones     = 3
	modelSlots     = 8
	modelSlow      = 4.0                     // factor on the time of one endpoint
	modelPrefill   = 60 * time.Microsecond   // one uncached prompt token
	modelAnswer    = 700 * time.Millisecond  // mean time to generate an answer
	modelReport    = 500 * time.Millisecond  // between reports
	modelLag       = 300 * time.Millisecond  // age of a report on arrival
	modelEvent     = 1000 * time.Millisecond // between publications of cache events
	modelLoss      = 0.2                     // share of cache events lost
	modelHot       = 0.7                     // share of requests with a shared prefix
	modelPrefixes  = 24                      // shared prefixes
	modelBlocks    = 40                      // blocks of a shared prefix
	modelTail      = 4                       // blocks of a request's own
	modelCache     = 400                     // blocks in an endpoint's cache
	modelDeadline  = 5 * time.Second         // of the first token
	modelPatience  = time.Second             // a request that no endpoint takes by then is refused
	modelDuration  = 40 * time.Second
	modelRetry     = 20 * time.Millisecond // between looks at waiting requests
	modelTokens    = BlockBytes / bytesPerToken
)

type model struct {
	random    *rand.Rand
	policy    policy
	duration  time.Duration
	now       time.Time
	start     time.Time
	events    timeline
	order     int
	endpoints []*modelEndpoint
	routers   []*modelRouter
	firsts    []time.Duration
	offered   int
	answered  int
	blocks    int
	hits      int
	nextBlock uint64
}

type modelEndpoint struct {
	spec    *fleet.EndpointSpec
	slow    float64
	running int
	queue   []*modelRequest
	cache   *lru.Cache[uint64, struct{}]
	serial  uint64
	news    []CacheEvent // not yet published
}

type modelRouter struct {
	snapshot *fleet.Snapshot
	table    *LoadTracker
	prefixes *PrefixIndex
	waiting  []*modelRequest
	turn     int
}

type modelRequest struct {
	router   *modelRouter
	at       time.Time
	sent     time.Time
	expected time.Duration
	blocks   []uint64
	answer   time.Duration
	counted  bool
	seed     uint64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type timeline []event

func (t timeline) Len() int      { return len(t) }
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t timeline) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}
func (t *timeline) Push(x any) { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func newModel(seed uint64, duration time.Duration, p policy) *model {
	m := &model{
		random:   rand.New(rand.NewPCG(seed, 1)),
		policy:   p,
		duration: duration,
		start:    time.Unix(1_000_000, 0),
	}
	m.now = m.start
	for i := range modelEndpoints {
		m.endpoints = append(m.endpoints, newModelEndpoint(i))
	}
	for i := range modelRouters {
		p, _ := NewPrefixIndex(modelCache) // fails only if the size is not positive
		r := &modelRouter{table: NewLoadTracker(), prefixes: p}
		r.snapshot = modelSnapshot(i, m.endpoints)
		m.routers = append(m.routers, r)
	}
	return m
}

func newModelEndpoint(i int) *modelEndpoint {
	c, _ := lru.New[uint64, struct{}](modelCache) // as above
	e := &modelEndpoint{slow: 1, cache: c, spec: &fleet.EndpointSpec{
		ID:      ident.EndpointID([]byte{'a' + byte(i)}),
		Zone:    modelZone(i),
		Release: modelRelease(),
		Slots:   modelSlots,
		Cold:    1,
	}}
	if i == 0 {
		e.slow = modelSlow
	}
	return e
}

func modelRelease() ident.Release { return ident.Release{Model: "m", Version: "1"} }

func modelZone(i int) ident.ZoneID { return ident.ZoneID([]byte{'x' + byte(i%modelZones)}) }

func modelSnapshot(router int, endpoints []*modelEndpoint) *fleet.Snapshot {
	release := modelRelease()
	s := &fleet.Snapshot{
		Self:      fleet.Router{Zone: modelZone(router)},
		Routers:   make([]fleet.Router, modelRouters),
		Endpoints: make(map[ident.EndpointID]*fleet.Endpoint, len(endpoints)),
		Config: &fleet.Config{
			Models: map[ident.ModelID]*fleet.Model{
				release.Model: {ID: release.Model, Versions: []ident.VersionID{release.Version}},
			},
			Zones: make(map[ident.ZoneID]*fleet.Zone),
		},
	}
	for i := range modelZones {
		s.Config.Zones[modelZone(i)] = &fleet.Zone{ID: modelZone(i), Region: "r"}
	}
	for _, e := range endpoints {
		s.Endpoints[e.spec.ID] = &fleet.Endpoint{Spec: e.spec, Phase: fleet.PhaseWarm}
	}
	return s
}

// run offers a load for the model's duration.
func (m *model) run(load ident.Share) {
	gap := time.Duration(float64(time.Second) / (float64(load) * modelCapacity()))
	for at := m.start; at.Before(m.start.Add(m.duration)); at = at.Add(time.Duration(m.random.ExpFloat64() * float64(gap))) {
		m.after(at.Sub(m.start), m.arrive)
	}
	m.after(modelEvent, m.flush)
	for i := range m.routers {
		m.after(time.Duration(i)*modelReport/modelRouters, func() { m.report(i) })
		m.after(modelRetry, func() { m.retry(m.routers[i]) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// modelCapacity is the requests a second that the endpoints can serve if every
// shared prefix is cached wherever it is needed.
func modelCapacity() float64 {
	tail := modelTail * modelTokens * modelPrefill
	prefix := modelBlocks * modelTokens * modelPrefill
	service := modelAnswer + tail + time.Duration((1-modelHot)*float64(prefix))
	return (modelEndpoints - 1 + 1/modelSlow) * modelSlots / service.Seconds()
}

func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{at: m.now.Add(d), order: m.order, run: run})
}

func (m *model) arrive() {
	r := &modelRequest{
		router:  m.routers[m.random.IntN(modelRouters)],
		at:      m.now,
		blocks:  m.prompt(),
		answer:  time.Duration(m.random.ExpFloat64() * float64(modelAnswer)),
		counted: m.now.Sub(m.start) >= m.duration/4,
	}
	if r.counted {
		m.offered++
	}
	r.router.waiting = append(r.router.waiting, r)
	m.pump(r.router)
}

// prompt draws a shared prefix by Zipf's law, or one seen nowhere else, and a
// tail of the request's own.
func (m *model) prompt() []uint64 {
	blocks := make([]uint64, 0, modelBlocks+modelTail)
	prefix := uint64(math.MaxUint32)
	if m.random.Float64() < modelHot {
		prefix = uint64(math.Exp(m.random.Float64()*math.Log(modelPrefixes+1))) - 1
	}
	for i := range modelBlocks + modelTail {
		if prefix < modelPrefixes && i < modelBlocks {
			blocks = append(blocks, prefix<<32+uint64(i))
			continue
		}
		m.nextBlock++
		blocks = append(blocks, 1<<63+m.nextBlock)
	}
	return blocks
}

// pump sends a router's waiting requests, the oldest first, while there are
// endpoints for them.
func (m *model) pump(router *modelRouter) {
	for len(router.waiting) > 0 {
		r := router.waiting[0]
		if m.now.Sub(r.at) >= modelPatience {
			router.waiting = router.waiting[1:]
			m.give(r, modelDeadline)
			continue
		}
		if !m.send(r) {
			return
		}
		router.waiting = router.waiting[1:]
	}
}

// send sends a request if the policy names an endpoint for it.
func (m *model) send(r *modelRequest) bool {
	r.seed = m.random.Uint64()
	id, expected, ok := m.policy(m, r)
	if !ok {
		return false
	}
	e := m.endpoints[id[0]-'a']
	r.sent, r.expected = m.now, expected
	r.router.table.Start(m.now, id)
	r.router.prefixes.RecordSent(id, r.blocks)
	e.queue = append(e.queue, r)
	m.serve(e)
	return true
}

// retry pumps a router's waiting requests from time to time.
func (m *model) retry(router *modelRouter) {
	m.pump(router)
	if m.now.Sub(m.start) < m.duration+modelPatience {
		m.after(modelRetry, func() { m.retry(router) })
	}
}

func (m *model) serve(e *modelEndpoint) {
	for len(e.queue) > 0 && e.running < modelSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		prefill := time.Duration(float64(m.fill(e, r)*modelTokens*int(modelPrefill)) * e.slow)
		m.after(prefill, func() { m.first(e, r) })
		m.after(prefill+time.Duration(float64(r.answer)*e.slow), func() { m.end(e, r) })
	}
}

// fill caches a prompt, and gives the number of blocks that were not cached.
func (m *model) fill(e *modelEndpoint, r *modelRequest) int {
	cached := 0
	for cached < len(r.blocks) && e.cache.Contains(r.blocks[cached]) {
		cached++
	}
	if r.counted {
		m.blocks += len(r.blocks)
		m.hits += cached
	}
	for i := len(r.blocks) - 1; i >= 0; i-- {
		if dropped, _, full := e.cache.GetOldest(); full && e.cache.Len() == modelCache && !e.cache.Contains(r.blocks[i]) {
			m.publish(e, dropped, false)
		}
		if !e.cache.Contains(r.blocks[i]) {
			m.publish(e, r.blocks[i], true)
		}
		e.cache.Add(r.blocks[i], struct{}{})
	}
	return len(r.blocks) - cached
}

func (m *model) publish(e *modelEndpoint, block uint64, stored bool) {
	e.serial++
	if m.random.Float64() >= modelLoss {
		e.news = append(e.news, CacheEvent{Sequence: e.serial, Block: block, Stored: stored})
	}
}

// flush hands the endpoints' cache events to the routers, up to modelEvent late.
func (m *model) flush() {
	if m.now.Sub(m.start) >= m.duration {
		return
	}
	for _, e := range m.endpoints {
		for _, r := range m.routers {
			r.prefixes.Apply(e.spec.ID, e.news)
		}
		e.news = nil
	}
	m.after(modelEvent, m.flush)
}

func (m *model) first(e *modelEndpoint, r *modelRequest) {
	r.router.table.FirstToken(m.now, e.spec.ID, r.expected, m.now.Sub(r.sent))
	m.give(r, m.now.Sub(r.at))
}

func (m *model) give(r *modelRequest, first time.Duration) {
	if !r.counted {
		return
	}
	m.firsts = append(m.firsts, first)
	if first < modelDeadline {
		m.answered++
	}
}

func (m *model) end(e *modelEndpoint, r *modelRequest) {
	e.running--
	r.router.table.End(m.now, e.spec.ID, OutcomeDone)
	m.serve(e)
	m.pump(r.router)
}

// report takes the endpoints' load now and hands it to a router after the lag.
func (m *model) report(router int) {
	if m.now.Sub(m.start) >= m.duration+modelDeadline {
		return
	}
	s := modelSnapshot(router, m.endpoints)
	for _, e := range m.endpoints {
		s.Endpoints[e.spec.ID].Report = fleet.Report{Running: e.running, Waiting: len(e.queue), Warm: true}
	}
	m.after(modelLag, func() {
		for _, e := range s.Endpoints {
			e.Reported = m.now
		}
		m.routers[router].snapshot = s
	})
	m.after(modelReport, func() { m.report(router) })
}
