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

// The parameters of the queueing model: endpoints serve a number of requests
// concurrently, each for the time of its prefill and its generation, and routers
// receive their load reports late.
const (
	simRouters            = 8
	simEndpoints          = 12
	simZones              = 3
	simSlots              = 8
	simSlowFactor         = 4.0                   // factor on the times of the slow endpoint
	simPrefillPerToken    = 60 * time.Microsecond // for uncached tokens
	simMeanGeneration     = 700 * time.Millisecond
	simReportInterval     = 500 * time.Millisecond
	simReportDelay        = 300 * time.Millisecond  // age of a report on arrival
	simCacheEventInterval = 1000 * time.Millisecond // between publications of cache events
	simCacheEventLoss     = 0.2                     // fraction of cache events lost
	simSharedPrefixRate   = 0.7                     // fraction of requests with a shared prefix
	simSharedPrefixes     = 24                      // number of shared prefixes
	simPrefixBlocks       = 40                      // length of a shared prefix
	simOwnBlocks          = 4                       // length of the rest of a prompt
	simCacheBlocks        = 400                     // size of an endpoint's cache
	simDeadline           = 5 * time.Second         // for the first token
	simMaxWait            = time.Second             // a request without an endpoint by then is refused
	simDuration           = 40 * time.Second
	simRetryInterval      = 20 * time.Millisecond // between attempts to send waiting requests
	simBlockTokens        = BlockBytes / bytesPerToken
)

type simulation struct {
	random    *rand.Rand
	policy    policy
	duration  time.Duration
	now       time.Time
	start     time.Time
	events    eventQueue
	order     int
	endpoints []*simEndpoint
	routers   []*simRouter
	latencies []time.Duration
	offered   int
	answered  int
	blocks    int
	hits      int
	nextBlock uint64
}

type simEndpoint struct {
	spec        *fleet.EndpointSpec
	slowFactor  float64
	running     int
	queue       []*simRequest
	cache       *lru.Cache[uint64, struct{}]
	sequence    uint64
	unpublished []CacheEvent
}

type simRouter struct {
	snapshot     *fleet.Snapshot
	tracker      *LoadTracker
	prefixes     *PrefixIndex
	waiting      []*simRequest
	nextEndpoint int
}

type simRequest struct {
	router     *simRouter
	arrivedAt  time.Time
	sentAt     time.Time
	expected   time.Duration
	blocks     []uint64
	generation time.Duration
	counted    bool
	seed       uint64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, duration time.Duration, p policy) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		policy:   p,
		duration: duration,
		start:    time.Unix(1_000_000, 0),
	}
	s.now = s.start
	for i := range simEndpoints {
		s.endpoints = append(s.endpoints, newSimEndpoint(i))
	}
	for i := range simRouters {
		p, _ := NewPrefixIndex(simCacheBlocks) // fails only if the size is not positive
		r := &simRouter{tracker: NewLoadTracker(), prefixes: p}
		r.snapshot = simSnapshot(i, s.endpoints)
		s.routers = append(s.routers, r)
	}
	return s
}

func newSimEndpoint(i int) *simEndpoint {
	c, _ := lru.New[uint64, struct{}](simCacheBlocks) // fails only if the size is not positive
	e := &simEndpoint{slowFactor: 1, cache: c, spec: &fleet.EndpointSpec{
		ID:        ident.EndpointID([]byte{'a' + byte(i)}),
		Zone:      simZone(i),
		Release:   simRelease(),
		Slots:     simSlots,
		ColdSlots: 1,
	}}
	if i == 0 {
		e.slowFactor = simSlowFactor
	}
	return e
}

func simRelease() ident.Release { return ident.Release{Model: "m", Version: "1"} }

func simZone(i int) ident.ZoneID { return ident.ZoneID([]byte{'x' + byte(i%simZones)}) }

func simSnapshot(router int, endpoints []*simEndpoint) *fleet.Snapshot {
	release := simRelease()
	snapshot := &fleet.Snapshot{
		Self:      fleet.Router{Zone: simZone(router)},
		Routers:   make([]fleet.Router, simRouters),
		Endpoints: make(map[ident.EndpointID]*fleet.Endpoint, len(endpoints)),
		Config: &fleet.Config{
			Models: map[ident.ModelID]*fleet.Model{
				release.Model: {ID: release.Model, Versions: []ident.VersionID{release.Version}},
			},
			Zones: make(map[ident.ZoneID]*fleet.Zone),
		},
	}
	for i := range simZones {
		snapshot.Config.Zones[simZone(i)] = &fleet.Zone{ID: simZone(i), Region: "r"}
	}
	for _, e := range endpoints {
		snapshot.Endpoints[e.spec.ID] = &fleet.Endpoint{Spec: e.spec, Phase: fleet.PhaseWarm}
	}
	return snapshot
}

// run simulates the load for the simulation's duration.
func (s *simulation) run(load ident.Share) {
	gap := time.Duration(float64(time.Second) / (float64(load) * simCapacity()))
	for at := s.start; at.Before(s.start.Add(s.duration)); at = at.Add(time.Duration(s.random.ExpFloat64() * float64(gap))) {
		s.schedule(at.Sub(s.start), s.arrive)
	}
	s.schedule(simCacheEventInterval, s.deliverCacheEvents)
	for i := range s.routers {
		s.schedule(time.Duration(i)*simReportInterval/simRouters, func() { s.report(i) })
		s.schedule(simRetryInterval, func() { s.retry(s.routers[i]) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// simCapacity returns the requests a second that the endpoints can serve if every
// shared prefix is cached wherever it is needed.
func simCapacity() float64 {
	ownPart := simOwnBlocks * simBlockTokens * simPrefillPerToken
	prefix := simPrefixBlocks * simBlockTokens * simPrefillPerToken
	service := simMeanGeneration + ownPart + time.Duration((1-simSharedPrefixRate)*float64(prefix))
	return (simEndpoints - 1 + 1/simSlowFactor) * simSlots / service.Seconds()
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, run: run})
}

func (s *simulation) arrive() {
	r := &simRequest{
		router:     s.routers[s.random.IntN(simRouters)],
		arrivedAt:  s.now,
		blocks:     s.prompt(),
		generation: time.Duration(s.random.ExpFloat64() * float64(simMeanGeneration)),
		counted:    s.now.Sub(s.start) >= s.duration/4,
	}
	if r.counted {
		s.offered++
	}
	r.router.waiting = append(r.router.waiting, r)
	s.sendWaiting(r.router)
}

// prompt returns the blocks of a random prompt: a shared prefix drawn by Zipf's
// law or a unique one, and a unique rest.
func (s *simulation) prompt() []uint64 {
	blocks := make([]uint64, 0, simPrefixBlocks+simOwnBlocks)
	prefix := uint64(math.MaxUint32)
	if s.random.Float64() < simSharedPrefixRate {
		prefix = uint64(math.Exp(s.random.Float64()*math.Log(simSharedPrefixes+1))) - 1
	}
	for i := range simPrefixBlocks + simOwnBlocks {
		if prefix < simSharedPrefixes && i < simPrefixBlocks {
			blocks = append(blocks, prefix<<32+uint64(i))
			continue
		}
		s.nextBlock++
		blocks = append(blocks, 1<<63+s.nextBlock)
	}
	return blocks
}

// sendWaiting sends a router's waiting requests, the oldest first, while there
// are endpoints for them.
func (s *simulation) sendWaiting(router *simRouter) {
	for len(router.waiting) > 0 {
		r := router.waiting[0]
		if s.now.Sub(r.arrivedAt) >= simMaxWait {
			router.waiting = router.waiting[1:]
			s.recordLatency(r, simDeadline)
			continue
		}
		if !s.send(r) {
			return
		}
		router.waiting = router.waiting[1:]
	}
}

// send sends a request if the policy names an endpoint for it.
func (s *simulation) send(r *simRequest) bool {
	r.seed = s.random.Uint64()
	id, expected, ok := s.policy(s, r)
	if !ok {
		return false
	}
	e := s.endpoints[id[0]-'a']
	r.sentAt, r.expected = s.now, expected
	r.router.tracker.Start(s.now, id)
	r.router.prefixes.RecordSent(id, r.blocks)
	e.queue = append(e.queue, r)
	s.serve(e)
	return true
}

// retry sends a router's waiting requests at intervals.
func (s *simulation) retry(router *simRouter) {
	s.sendWaiting(router)
	if s.now.Sub(s.start) < s.duration+simMaxWait {
		s.schedule(simRetryInterval, func() { s.retry(router) })
	}
}

func (s *simulation) serve(e *simEndpoint) {
	for len(e.queue) > 0 && e.running < simSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		prefill := time.Duration(float64(s.fillCache(e, r)*simBlockTokens*int(simPrefillPerToken)) * e.slowFactor)
		s.schedule(prefill, func() { s.firstToken(e, r) })
		s.schedule(prefill+time.Duration(float64(r.generation)*e.slowFactor), func() { s.end(e, r) })
	}
}

// fillCache caches a prompt and returns the number of blocks that were not
// cached.
func (s *simulation) fillCache(e *simEndpoint, r *simRequest) int {
	cached := 0
	for cached < len(r.blocks) && e.cache.Contains(r.blocks[cached]) {
		cached++
	}
	if r.counted {
		s.blocks += len(r.blocks)
		s.hits += cached
	}
	for i := len(r.blocks) - 1; i >= 0; i-- {
		if evicted, _, full := e.cache.GetOldest(); full && e.cache.Len() == simCacheBlocks && !e.cache.Contains(r.blocks[i]) {
			s.publish(e, evicted, false)
		}
		if !e.cache.Contains(r.blocks[i]) {
			s.publish(e, r.blocks[i], true)
		}
		e.cache.Add(r.blocks[i], struct{}{})
	}
	return len(r.blocks) - cached
}

func (s *simulation) publish(e *simEndpoint, block uint64, stored bool) {
	e.sequence++
	if s.random.Float64() >= simCacheEventLoss {
		e.unpublished = append(e.unpublished, CacheEvent{Sequence: e.sequence, Block: block, Stored: stored})
	}
}

// deliverCacheEvents delivers the endpoints' cache events to the routers, up to
// simCacheEventInterval late.
func (s *simulation) deliverCacheEvents() {
	if s.now.Sub(s.start) >= s.duration {
		return
	}
	for _, e := range s.endpoints {
		for _, r := range s.routers {
			r.prefixes.Apply(e.spec.ID, e.unpublished)
		}
		e.unpublished = nil
	}
	s.schedule(simCacheEventInterval, s.deliverCacheEvents)
}

func (s *simulation) firstToken(e *simEndpoint, r *simRequest) {
	r.router.tracker.FirstToken(s.now, e.spec.ID, r.expected, s.now.Sub(r.sentAt))
	s.recordLatency(r, s.now.Sub(r.arrivedAt))
}

func (s *simulation) recordLatency(r *simRequest, latency time.Duration) {
	if !r.counted {
		return
	}
	s.latencies = append(s.latencies, latency)
	if latency < simDeadline {
		s.answered++
	}
}

func (s *simulation) end(e *simEndpoint, r *simRequest) {
	e.running--
	r.router.tracker.End(s.now, e.spec.ID, OutcomeDone)
	s.serve(e)
	s.sendWaiting(r.router)
}

// report delivers the endpoints' current load to a router after simReportDelay.
func (s *simulation) report(router int) {
	if s.now.Sub(s.start) >= s.duration+simDeadline {
		return
	}
	snapshot := simSnapshot(router, s.endpoints)
	for _, e := range s.endpoints {
		snapshot.Endpoints[e.spec.ID].Report = fleet.Report{Running: e.running, Waiting: len(e.queue), Warm: true}
	}
	s.schedule(simReportDelay, func() {
		for _, e := range snapshot.Endpoints {
			e.ReportedAt = s.now
		}
		s.routers[router].snapshot = snapshot
	})
	s.schedule(simReportInterval, func() { s.report(router) })
}
