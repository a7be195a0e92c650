package admit

import (
	"sort"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// admitWaiting admits queued tickets while slots are free, and refuses those at
// the head that can no longer meet their deadline.
func (g *Gate) admitWaiting(now time.Time, decisions []Decision) []Decision {
	for g.queued > 0 {
		m := g.nextTeam()
		t := m.head()
		if g.missesDeadline(now, 0, t) {
			g.pop(m)
			decisions = append(decisions, g.refuse(m, t, ReasonDeadline))
			continue
		}
		if !g.fits(t) {
			break
		}
		g.pop(m)
		g.admit(now, m, t)
		decisions = append(decisions, Admit{Ticket: t.ID})
	}
	return decisions
}

// nextTeam returns the team whose first ticket is next: one with a short answer
// while these hold less than their share of the slots, else the one with the
// smallest virtual finish time.
func (g *Gate) nextTeam() *team {
	var best *team
	preferred := g.shortUsed < g.slots*shortAnswerShare
	for _, m := range g.teams {
		if m.len() == 0 {
			continue
		}
		if best == nil || precedesTeam(m, best, preferred) {
			best = m
		}
	}
	return best
}

// precedesTeam reports whether the first ticket of a goes before that of b.
func precedesTeam(a, b *team, preferred bool) bool {
	if preferred && a.head().ShortAnswer != b.head().ShortAnswer {
		return a.head().ShortAnswer
	}
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.id < b.id
}

// expectedWait estimates the time until a team's queued tickets of the given cost
// have started, at the team's share of the slots among teams with a queue.
func (g *Gate) expectedWait(m *team, cost float64) time.Duration {
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
	return time.Duration((cost/share + 1) / g.slots * float64(g.serviceTimes[false].mean))
}

// refuseLate refuses a team's queued tickets that can no longer meet their
// deadline.
func (g *Gate) refuseLate(now time.Time, m *team, decisions []Decision) []Decision {
	kept := m.queue[:0]
	ahead := 0.0
	for _, w := range m.queue {
		wait := time.Duration(float64(g.expectedWait(m, ahead)) * certainWaitFraction)
		if g.missesDeadline(now, wait, w) {
			g.queued--
			decisions = append(decisions, g.refuse(m, w, ReasonDeadline))
			continue
		}
		ahead += w.Cost
		kept = append(kept, w)
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return decisions
}

// shed enforces the queue limits: it refuses the last ticket of the submitting
// team, then of the team with the longest queue for its weight.
func (g *Gate) shed(submitter *team) []Decision {
	var decisions []Decision
	if submitter.len() > maxTeamQueued {
		decisions = append(decisions, g.shedLast(submitter))
	}
	for g.queued > maxQueued {
		decisions = append(decisions, g.shedLast(g.longestQueue()))
	}
	return decisions
}

// shedLast refuses the last ticket of a team's queue.
func (g *Gate) shedLast(m *team) Decision {
	t := m.last()
	m.queue = m.queue[:m.len()-1]
	g.queued--
	return g.refuse(m, t, ReasonShed)
}

// longestQueue returns the team with the highest queued cost for its weight.
func (g *Gate) longestQueue() *team {
	var longest *team
	for _, m := range g.sortedTeams() {
		if longest == nil || m.queuedCost()/m.weight > longest.queuedCost()/longest.weight {
			longest = m
		}
	}
	return longest
}

// pop removes the first ticket of a team's queue.
func (g *Gate) pop(m *team) {
	m.queue[0] = Ticket{}
	m.queue = m.queue[1:]
	g.queued--
}

func (g *Gate) removeQueued(id TicketID) {
	for _, m := range g.teams {
		if m.remove(id) {
			g.queued--
			return
		}
	}
}

// ensureTeam returns the team's queue, which it creates if missing.
func (g *Gate) ensureTeam(id ident.TeamID) *team {
	m := g.teams[id]
	if m == nil {
		m = &team{id: id, weight: 1}
		g.teams[id] = m
	}
	return m
}

// sortedTeams returns the teams sorted by id.
func (g *Gate) sortedTeams() []*team {
	teams := make([]*team, 0, len(g.teams))
	for _, m := range g.teams {
		teams = append(teams, m)
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].id < teams[j].id })
	return teams
}
