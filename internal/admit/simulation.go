package admit

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Parameters of the simulation: one router's share of the slots, and teams of which
// the two large ones cause most of the load and all of the excess.
const (
	simSlots         = 40
	simLongService   = time.Second            // mean service time of a long answer
	simShortService  = 100 * time.Millisecond // mean service time of a short answer
	simShortShare    = 0.3                    // fraction of requests for short answers
	simSmallTeams    = 8                      // number of small teams
	simLargeTeams    = 2                      // number of large teams
	simSmallTeamLoad = 0.03                   // fraction of the capacity requested by each small team
	simDeadline      = 4 * time.Second
	simDuration      = 60 * time.Second
	simWarmUp        = 10 * time.Second // excluded from the results
	simTickInterval  = 50 * time.Millisecond
	simContention    = 0.5 // relative slowdown per unit of overload, without a gate
)

// simulation is a discrete-event simulation of one policy at one load.
type simulation struct {
	random       *rand.Rand
	gate         *Gate // nil starts all requests at once
	now          time.Time
	start        time.Time
	events       eventQueue
	tickets      map[TicketID]*simulatedTicket
	lastID       TicketID
	running      int
	counts       map[bool]*outcomeCount // by simulatedTicket.largeTeam
	shortAnswers outcomeCount
	usefulTime   time.Duration // total service time of requests answered in time
}

type simulatedTicket struct {
	ticket      Ticket
	largeTeam   bool
	serviceTime time.Duration
}

type outcomeCount struct{ offered, inTime int }

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue struct {
	events []event
	order  int
}

func (t *eventQueue) Len() int      { return len(t.events) }
func (t *eventQueue) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }
func (t *eventQueue) Push(x any)    { t.events = append(t.events, x.(event)) }
func (t *eventQueue) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

func (t *eventQueue) Pop() any {
	last := t.events[len(t.events)-1]
	t.events = t.events[:len(t.events)-1]
	return last
}

// Simulate offers 80% to 200% of the capacity to a gate, and to the same slots
// without a gate, whose service times grow with overload. The small teams offer a
// constant load; the large ones cause the rest. RelativeWork compares goodput by
// work, since short answers go first and so their fraction of the count grows with
// the load. The results are deterministic for a seed.
func Simulate(seed uint64) []SimulationResult {
	var results []SimulationResult
	for _, policy := range []string{"gate", "none"} {
		var policyResults []SimulationResult
		peak := 0.0
		for _, load := range []ident.Share{0.8, 1, 1.2, 2} {
			m := newSimulation(seed, policy == "gate")
			m.run(load)
			r := m.result(policy, load)
			peak = max(peak, r.UsefulSlots)
			policyResults = append(policyResults, r)
		}
		for i := range policyResults {
			policyResults[i].RelativeWork = ident.Share(policyResults[i].UsefulSlots / peak)
		}
		results = append(results, policyResults...)
	}
	return results
}

func newSimulation(seed uint64, useGate bool) *simulation {
	m := &simulation{
		random:  rand.New(rand.NewPCG(seed, 2)),
		start:   time.Unix(1_000_000, 0),
		tickets: make(map[TicketID]*simulatedTicket),
		counts:  map[bool]*outcomeCount{false: {}, true: {}},
	}
	m.now = m.start
	if useGate {
		m.gate = New()
		m.gate.SetCapacity(m.now, simSlots)
	}
	return m
}

func (m *simulation) run(load ident.Share) {
	service := simShortShare*simShortService.Seconds() + (1-simShortShare)*simLongService.Seconds()
	capacity := simSlots / service // requests per second
	large := (float64(load) - simSmallTeams*simSmallTeamLoad) / simLargeTeams
	for i := range simSmallTeams + simLargeTeams {
		rate := simSmallTeamLoad * capacity
		if i >= simSmallTeams {
			rate = large * capacity
		}
		m.scheduleArrivals(i, rate)
	}
	m.tick()
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func (m *simulation) scheduleArrivals(team int, rate float64) {
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		if at > simDuration {
			return
		}
		m.schedule(at, func() { m.arrive(team) })
	}
}

func (m *simulation) schedule(d time.Duration, run func()) {
	m.events.order++
	heap.Push(&m.events, event{at: m.now.Add(d), order: m.events.order, run: run})
}

func (m *simulation) arrive(team int) {
	m.lastID++
	t := &simulatedTicket{
		largeTeam: team >= simSmallTeams,
		ticket: Ticket{
			ID:          m.lastID,
			Team:        ident.TeamID(strconv.Itoa(team)),
			Weight:      1,
			Deadline:    m.now.Add(simDeadline),
			ShortAnswer: m.random.Float64() < simShortShare,
		},
	}
	mean := simLongService
	if t.ticket.ShortAnswer {
		mean = simShortService
	}
	t.serviceTime = time.Duration(m.random.ExpFloat64() * float64(mean))
	m.tickets[m.lastID] = t
	if m.isCounted(t) {
		m.counts[t.largeTeam].offered++
		if t.ticket.ShortAnswer {
			m.shortAnswers.offered++
		}
	}
	m.submit(t)
}

func (m *simulation) isCounted(t *simulatedTicket) bool {
	return t.ticket.Deadline.Add(-simDeadline).Sub(m.start) >= simWarmUp
}

func (m *simulation) submit(t *simulatedTicket) {
	if m.gate == nil {
		m.startTicket(t)
		return
	}
	d, others := m.gate.Submit(m.now, t.ticket)
	m.apply(d)
	m.applyAll(others)
}

func (m *simulation) applyAll(decisions []Decision) {
	for _, d := range decisions {
		m.apply(d)
	}
}

func (m *simulation) apply(d Decision) {
	switch d := d.(type) {
	case Admit:
		m.startTicket(m.tickets[d.Ticket])
	case Refuse:
		delete(m.tickets, d.Ticket)
	case Queue:
	}
}

// startTicket runs a ticket. Tickets beyond the slots share them, and contention
// slows all down further.
func (m *simulation) startTicket(t *simulatedTicket) {
	m.running++
	excess := max(0, float64(m.running)/simSlots-1)
	slowdown := 1 + excess*(1+simContention)
	m.schedule(time.Duration(float64(t.serviceTime)*slowdown), func() { m.endTicket(t) })
}

func (m *simulation) endTicket(t *simulatedTicket) {
	m.running--
	delete(m.tickets, t.ticket.ID)
	if m.isCounted(t) && !m.now.After(t.ticket.Deadline) {
		m.counts[t.largeTeam].inTime++
		m.usefulTime += t.serviceTime
		if t.ticket.ShortAnswer {
			m.shortAnswers.inTime++
		}
	}
	if m.gate != nil {
		m.applyAll(m.gate.Done(m.now, t.ticket.ID))
	}
}

func (m *simulation) tick() {
	if m.gate == nil || m.now.Sub(m.start) > simDuration+simDeadline {
		return
	}
	m.applyAll(m.gate.Tick(m.now))
	m.schedule(simTickInterval, m.tick)
}

func (m *simulation) result(policy string, load ident.Share) SimulationResult {
	seconds := (simDuration - simWarmUp).Seconds()
	small, large := m.counts[false], m.counts[true]
	return SimulationResult{
		Policy:       policy,
		Load:         load,
		Goodput:      float64(small.inTime+large.inTime) / seconds,
		UsefulSlots:  m.usefulTime.Seconds() / seconds,
		SmallTeams:   small.share(),
		LargeTeams:   large.share(),
		ShortAnswers: m.shortAnswers.share(),
	}
}

func (c outcomeCount) share() ident.Share {
	return ident.Share(float64(c.inTime) / float64(max(1, c.offered)))
}
