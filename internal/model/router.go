package model

import "github.com/marigoldscale/marigoldscale/internal/shard"

// This file follows what shard.Journal does around a log, and what a router
// does with its answers.

// submit begins a request on a router.
func (w *World) submit(i, r int) {
	s := &w.requests[i]
	s.router = r
	for _, e := range w.requests[:i] {
		s.expects = s.expects || e.recorded && e.request.Key == s.request.Key
	}
	if s.request.Idempotent {
		s.sent = true
		w.finish(i)
		return
	}
	if w.scenario.Forward && r != 0 && !w.routers[0].dead {
		s.stage = stageForwarded
		w.step(0, shard.Propose{Proposal: ticket(i, ticketForwarded), Record: w.claim(i)})
		return
	}
	w.claimHere(i)
}

// claimHere claims through the router's own log.
func (w *World) claimHere(i int) {
	s := &w.requests[i]
	s.stage = stageClaiming
	w.step(s.router, shard.Propose{Proposal: ticket(i, ticketClaim), Record: w.claim(i), Retain: true})
}

// send hands the request to an endpoint, which runs it.
func (w *World) send(i int) {
	w.requests[i].sent = true
	w.requests[i].stage = stageRunning
}

// finish records the outcome and the bill.
func (w *World) finish(i int) {
	s := &w.requests[i]
	s.stage = stageFinishing
	r := s.router
	w.step(r, shard.Propose{Proposal: ticket(i, ticketBill), Record: shard.Bill{Key: w.key(i), Cost: 1, At: now}, Retain: true})
	if s.request.Idempotent {
		s.outcome = true
		w.deliver(i)
		return
	}
	w.step(r, shard.Propose{Proposal: ticket(i, ticketOutcome), Record: shard.Outcome{Key: w.key(i), Status: 200, At: now}, Retain: true})
}

// abandon gives the request up before it is sent.
func (w *World) abandon(i int) {
	s := &w.requests[i]
	switch s.stage {
	case stageForwarded:
		s.lost = true
		w.refuse(i, shard.Unavailable{})
	case stageClaiming:
		w.step(s.router, shard.Cancel{Proposal: ticket(i, ticketClaim)})
	case stageGranted:
		w.refuse(i, shard.Unavailable{Written: true})
	}
}

// breakLink loses the forward of a claim; the owner does not notice.
func (w *World) breakLink(i int) {
	w.requests[i].lost = true
	w.claimHere(i)
}

// kill ends a router. The records that it had queued are adopted from the
// copies that its peers hold.
func (w *World) kill(r int) {
	dead := &w.routers[r]
	dead.dead = true
	for _, c := range dead.calls {
		if a, ok := c.action.(shard.WriteObject); ok && c.answer == nil {
			w.late = append(w.late, a)
		}
	}
	dead.calls = nil
	var copies []shard.Record
	for _, p := range dead.log.Pending() {
		if w.copied(p) {
			copies = append(copies, p)
		}
	}
	for i := range w.requests {
		w.orphan(i, r)
	}
	for heir := range w.routers {
		if !w.routers[heir].dead {
			for n, p := range copies {
				w.step(heir, shard.Propose{Proposal: ticket(n, ticketAdopted), Record: p, Retain: true})
			}
			return
		}
	}
}

// orphan ends a submission whose router died, or whose owner died during a
// forward.
func (w *World) orphan(i, dead int) {
	s := &w.requests[i]
	if s.router == dead && s.stage != stageNew {
		s.stage = stageDone
	} else if dead == 0 && s.stage == stageForwarded {
		w.breakLink(i)
	}
}

// copied tells whether peers hold a copy of a pending record: it was answered
// with Queued, here or by a dead router whose records this one adopted.
func (w *World) copied(record shard.Record) bool {
	for i, s := range w.requests {
		switch p := record.(type) {
		case shard.Bill:
			if p.Key == w.key(i) && s.bill {
				return true
			}
		case shard.Outcome:
			if p.Key == w.key(i) && s.outcome {
				return true
			}
		case shard.Release:
			if p.Nonce == nonce(i) {
				return true
			}
		}
	}
	return false
}

// reply takes in a log's answer to a proposal.
func (w *World) reply(r int, answer shard.Reply) {
	i := int(answer.Proposal) / 10
	s := &w.requests[i]
	switch int(answer.Proposal) % 10 {
	case ticketForwarded:
		if s.stage == stageForwarded {
			w.forwarded(i, answer.Result)
		}
	case ticketClaim:
		if s.stage == stageClaiming && s.router == r {
			w.claimed(i, answer.Result)
		}
	case ticketOutcome:
		s.outcome = acknowledged(answer.Result)
		_, s.recorded = answer.Result.(shard.Durable)
		w.deliver(i)
	case ticketBill:
		s.bill = acknowledged(answer.Result)
		_, s.durable = answer.Result.(shard.Durable)
		w.deliver(i)
	}
}

// forwarded takes in the owner's answer; if the owner can't, this router tries.
func (w *World) forwarded(i int, result shard.Result) {
	u, ok := result.(shard.Unavailable)
	if !ok {
		w.claimed(i, result)
		return
	}
	w.requests[i].lost = u.Written
	w.claimHere(i)
}

func (w *World) claimed(i int, result shard.Result) {
	s := &w.requests[i]
	switch r := result.(type) {
	case shard.Granted:
		s.stage, s.granted = stageGranted, true
	case shard.Taken:
		s.stage, s.verdict = stageDone, verdictUnknown
		if r.Outcome != nil {
			s.verdict = verdictAnswer
		}
	case shard.Released:
		s.stage, s.verdict = stageDone, verdictNotRun
	case shard.Unavailable:
		w.refuse(i, r)
	}
}

// refuse tells the caller "not run", and releases the claim if it may stand.
func (w *World) refuse(i int, u shard.Unavailable) {
	s := &w.requests[i]
	s.stage, s.verdict = stageDone, verdictNotRun
	if u.Written || s.lost {
		s.released = true
		w.step(s.router, shard.Propose{
			Proposal: ticket(i, ticketRelease), Retain: true,
			Record: shard.Release{Key: w.key(i), Nonce: nonce(i), At: now},
		})
	}
}

// deliver answers the caller once outcome and bill are acknowledged.
func (w *World) deliver(i int) {
	s := &w.requests[i]
	if s.stage == stageFinishing && s.outcome && s.bill {
		s.stage, s.verdict = stageDone, verdictAnswer
	}
}

func acknowledged(result shard.Result) bool {
	switch result.(type) {
	case shard.Durable, shard.Queued:
		return true
	default:
		return false
	}
}
