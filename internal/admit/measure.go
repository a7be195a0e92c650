package admit

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// The measured model: one router's share of the slots, and teams of which the
// two large ones make most of the load and all of the excess.
const (
	modelSlots    = 40
	modelLong     = time.Second            // mean service time of a long request
	modelQuick    = 100 * time.Millisecond // and of a quick one
	modelShort    = 0.3                    // share of quick requests
	modelSmall    = 8                      // small teams
	modelLarge    = 2                      // large teams
	modelSmallUse = 0.03                   // of the capacity, asked for by each small team
	modelDeadline = 4 * time.Second
	modelTime     = 60 * time.Second
	modelWarmUp   = 10 * time.Second // not counted
	modelTick     = 50 * time.Millisecond
	modelThrash   = 0.5 // growth of the service times for each slot's worth of excess, without a gate
)

type model struct {
	random  *rand.Rand
	gate    *Gate // nil: everything starts at once
	now     time.Time
	start   time.Time
	events  timeline
	tickets map[TicketID]*modelTicket
	last    TicketID
	running int
	counts  map[bool]*count // by whether the team is large
	quick   count
	work    time.Duration // service time of the requests answered in time
}

type modelTicket struct {
	ticket  Ticket
	large   bool
	service time.Duration
}

type count struct{ offered, good int }

type event struct {
	at    time.Time
	order int
	run   func()
}

type timeline struct {
	events []event
	order  int
}

func (t *timeline) Len() int      { return len(t.events) }
func (t *timeline) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }
func (t *timeline) Push(x any)    { t.events = append(t.events, x.(event)) }
func (t *timeline) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

func (t *timeline) Pop() any {
	last := t.events[len(t.events)-1]
	t.events = t.events[:len(t.events)-1]
	return last
}

// Measure offers 80 to 200% of the capacity to the gate, and to the same slots
// without one, whose service slows down as more runs than fits. The small teams
// always ask for the same; the large ones make the rest. Goodput is compared by
// work, since quick requests go first and so their part of the count grows with
// the load. The same seed gives the same rows.
func Simulate(seed uint64) []SimulationResult {
	var rows []SimulationResult
	for _, policy := range []string{"gate", "none"} {
		var some []SimulationResult
		peak := 0.0
		for _, load := range []ident.Share{0.8, 1, 1.2, 2} {
			m := newModel(seed, policy == "gate")
			m.run(load)
			r := m.row(policy, load)
			peak = max(peak, r.UsefulSlots)
			some = append(some, r)
		}
		for i := range some {
			some[i].RelativeWork = ident.Share(some[i].UsefulSlots / peak)
		}
		rows = append(rows, some...)
	}
	return rows
}

func newModel(seed uint64, gated bool) *model {
	m := &model{
		random:  rand.New(rand.NewPCG(seed, 2)),
		start:   time.Unix(1_000_000, 0),
		tickets: make(map[TicketID]*modelTicket),
		counts:  map[bool]*count{false: {}, true: {}},
	}
	m.now = m.start
	if gated {
		m.gate = New()
		m.gate.SetCapacity(m.now, modelSlots)
	}
	return m
}

func (m *model) run(load ident.Share) {
	service := modelShort*modelQuick.Seconds() + (1-modelShort)*modelLong.Seconds()
	capacity := modelSlots / service // requests a second
	large := (float64(load) - modelSmall*modelSmallUse) / modelLarge
	for i := range modelSmall + modelLarge {
		rate := modelSmallUse * capacity
		if i >= modelSmall {
			rate = large * capacity
		}
		m.arrivals(i, rate)
	}
	m.tick()
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func (m *model) arrivals(team int, rate float64) {
	at := time.Duration(0)
	for {
		at += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		if at > modelTime {
			return
		}
		m.after(at, func() { m.arrive(team) })
	}
}

func (m *model) after(d time.Duration, run func()) {
	m.events.order++
	heap.Push(&m.events, event{at: m.now.Add(d), order: m.events.order, run: run})
}

func (m *model) arrive(team int) {
	m.last++
	t := &modelTicket{
		large: team >= modelSmall,
		ticket: Ticket{
			ID:          m.last,
			Team:        ident.TeamID(strconv.Itoa(team)),
			Weight:      1,
			Deadline:    m.now.Add(modelDeadline),
			ShortAnswer: m.random.Float64() < modelShort,
		},
	}
	mean := modelLong
	if t.ticket.ShortAnswer {
		mean = modelQuick
	}
	t.service = time.Duration(m.random.ExpFloat64() * float64(mean))
	m.tickets[m.last] = t
	if m.counted(t) {
		m.counts[t.large].offered++
		if t.ticket.ShortAnswer {
			m.quick.offered++
		}
	}
	m.ask(t)
}

func (m *model) counted(t *modelTicket) bool {
	return t.ticket.Deadline.Add(-modelDeadline).Sub(m.start) >= modelWarmUp
}

func (m *model) ask(t *modelTicket) {
	if m.gate == nil {
		m.begin(t)
		return
	}
	v, others := m.gate.Submit(m.now, t.ticket)
	m.heed(v)
	m.heedAll(others)
}

func (m *model) heedAll(verdicts []Decision) {
	for _, v := range verdicts {
		m.heed(v)
	}
}

func (m *model) heed(v Decision) {
	switch v := v.(type) {
	case Admit:
		m.begin(m.tickets[v.Ticket])
	case Refuse:
		delete(m.tickets, v.Ticket)
	case Queue:
	}
}

// begin runs a ticket; beyond the slots all runs share them, and lose some of
// the time to getting in each other's way.
func (m *model) begin(t *modelTicket) {
	m.running++
	excess := max(0, float64(m.running)/modelSlots-1)
	slow := 1 + excess*(1+modelThrash)
	m.after(time.Duration(float64(t.service)*slow), func() { m.end(t) })
}

func (m *model) end(t *modelTicket) {
	m.running--
	delete(m.tickets, t.ticket.ID)
	if m.counted(t) && !m.now.After(t.ticket.Deadline) {
		m.counts[t.large].good++
		m.work += t.service
		if t.ticket.ShortAnswer {
			m.quick.good++
		}
	}
	if m.gate != nil {
		m.heedAll(m.gate.Done(m.now, t.ticket.ID))
	}
}

func (m *model) tick() {
	if m.gate == nil || m.now.Sub(m.start) > modelTime+modelDeadline {
		return
	}
	m.heedAll(m.gate.Tick(m.now))
	m.after(modelTick, m.tick)
}

func (m *model) row(policy string, load ident.Share) SimulationResult {
	seconds := (modelTime - modelWarmUp).Seconds()
	small, large := m.counts[false], m.counts[true]
	return SimulationResult{
		Policy:       policy,
		Load:         load,
		Goodput:      float64(small.good+large.good) / seconds,
		UsefulSlots:  m.work.Seconds() / seconds,
		SmallTeams:   small.share(),
		LargeTeams:   large.share(),
		ShortAnswers: m.quick.share(),
	}
}

func (c count) share() ident.Share {
	return ident.Share(float64(c.good) / float64(max(1, c.offered)))
}
