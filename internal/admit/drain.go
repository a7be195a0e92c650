package admit

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// drain admits waiting tickets while there are slots.
func (g *Gate) drain(now time.Time, verdicts []Decision) []Decision {
	for g.queued > 0 {
		m := g.next()
		t := m.head()
		if g.late(now, 0, t) {
			g.pop(m)
			verdicts = append(verdicts, g.refuse(m, t, ReasonDeadline))
			continue
		}
		if !g.fits(t) {
			break
		}
		g.pop(m)
		g.admit(now, m, t)
		verdicts = append(verdicts, Admit{Ticket: t.ID})
	}
	return verdicts
}

// next gives the team whose head goes first: one with a quick ticket while
// these hold less than their share, else the one with the least virtual time.
func (g *Gate) next() *team {
	var best *team
	preferred := g.quick < g.slots*quickShare
	for _, m := range g.teams {
		if m.len() == 0 {
			continue
		}
		if best == nil || goesFirst(m, best, preferred) {
			best = m
		}
	}
	return best
}

func goesFirst(a, b *team, preferred bool) bool {
	if preferred && a.head().ShortAnswer != b.head().ShortAnswer {
		return a.head().ShortAnswer
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.id < b.id
}

// wait estimates how long a team's backlog of a cost takes to start, at the
// team's share of the slots among those who wait.
func (g *Gate) wait(m *team, cost float64) time.Duration {
	if g.slots <= 0 {
		return maxRetryAfter
	}
	others := 0.0
	for _, o := range g.teams {
		if o != m && o.len() > 0 {
			others += o.weight
		}
	}
	share := m.weight / (m.weight + others)
	return time.Duration((cost/share + 1) / g.slots * float64(g.service[false].mean))
}

// expire refuses a team's waiting tickets that cannot be answered in time.
func (g *Gate) expire(now time.Time, m *team, verdicts []Decision) []Decision {
	kept := m.queue[:0]
	ahead := 0.0
	for _, w := range m.queue {
		wait := time.Duration(float64(g.wait(m, ahead)) * doubt)
		if g.late(now, wait, w) {
			g.queued--
			verdicts = append(verdicts, g.refuse(m, w, ReasonDeadline))
			continue
		}
		ahead += w.Cost
		kept = append(kept, w)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return verdicts
}

// shed refuses the last ticket of the team that waits most for its weight,
// while more wait than may.
func (g *Gate) shed(asked *team) []Decision {
	var verdicts []Decision
	if asked.len() > maxTeamQueued {
		verdicts = append(verdicts, g.dropLast(asked))
	}
	for g.queued > maxQueued {
		verdicts = append(verdicts, g.dropLast(g.heaviest()))
	}
	return verdicts
}

func (g *Gate) dropLast(m *team) Decision {
	t := m.last()
	m.queue = m.queue[:m.len()-1]
	g.queued--
	return g.refuse(m, t, ReasonShed)
}

func (g *Gate) heaviest() *team {
	var worst *team
	for _, m := range g.order() {
		if worst == nil || m.cost()/m.weight > worst.cost()/worst.weight {
			worst = m
		}
	}
	return worst
}

func (g *Gate) pop(m *team) {
	m.queue[0] = Ticket{}
	m.queue = m.queue[1:]
	g.queued--
}

func (g *Gate) forget(id TicketID) {
	for _, m := range g.teams {
		if m.remove(id) {
			g.queued--
			return
		}
	}
}

func (g *Gate) team(id ident.TeamID) *team {
	m := g.teams[id]
	if m == nil {
		m = &team{id: id, weight: 1}
		g.teams[id] = m
	}
	return m
}

// order gives the teams sorted by id.
func (g *Gate) order() []*team {
	teams := make([]*team, 0, len(g.teams))
	for _, m := range g.teams {
		teams = append(teams, m)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].id < teams[j].id })
	return teams
}
