package model

import "github.com/marigoldscale/marigoldscale/internal/shard"

// This file reproduces what shard.Journal does around a log, and how a router
// handles the results.

// submit starts a submission on a router.
func (st *State) submit(i, r int) {
	s := &st.submissions[i]
	s.router = r
	for _, e := range st.submissions[:i] {
		s.outcomeExpected = s.outcomeExpected || e.outcomeDurable && e.request.Key == s.request.Key
	}
	if s.request.Idempotent {
		s.sent = true
		st.finish(i)
		return
	}
	if st.scenario.Forward && r != 0 && !st.routers[0].dead {
		s.stage = stageForwarded
		st.applyEvent(0, shard.Propose{Proposal: ticket(i, ticketForwarded), Record: st.claimRecord(i)})
		return
	}
	st.claimLocally(i)
}

// claimLocally claims through the router's own log.
func (st *State) claimLocally(i int) {
	s := &st.submissions[i]
	s.stage = stageClaiming
	st.applyEvent(s.router, shard.Propose{Proposal: ticket(i, ticketClaim), Record: st.claimRecord(i), Retain: true})
}

// send dispatches the request to an endpoint, which runs it.
func (st *State) send(i int) {
	st.submissions[i].sent = true
	st.submissions[i].stage = stageRunning
}

// finish proposes the outcome and the bill.
func (st *State) finish(i int) {
	s := &st.submissions[i]
	s.stage = stageFinishing
	r := s.router
	st.applyEvent(r, shard.Propose{Proposal: ticket(i, ticketBill), Record: shard.Bill{Key: st.requestKey(i), Cost: 1, At: now}, Retain: true})
	if s.request.Idempotent {
		s.outcomeAcked = true
		st.completeIfAcknowledged(i)
		return
	}
	st.applyEvent(r, shard.Propose{Proposal: ticket(i, ticketOutcome), Record: shard.Outcome{Key: st.requestKey(i), Status: 200, At: now}, Retain: true})
}

// abandon cancels the request before it is sent.
func (st *State) abandon(i int) {
	s := &st.submissions[i]
	switch s.stage {
	case stageForwarded:
		s.claimUncertain = true
		st.refuse(i, shard.Unavailable{})
	case stageClaiming:
		st.applyEvent(s.router, shard.Cancel{Proposal: ticket(i, ticketClaim)})
	case stageGranted:
		st.refuse(i, shard.Unavailable{Written: true})
	}
}

// breakLink fails the forwarding of a claim. The owner does not detect this and
// may still write the claim.
func (st *State) breakLink(i int) {
	st.submissions[i].claimUncertain = true
	st.claimLocally(i)
}

// kill terminates a router. A peer adopts the router's queued records from the
// copies that peers hold.
func (st *State) kill(r int) {
	dead := &st.routers[r]
	dead.dead = true
	for _, c := range dead.calls {
		if a, ok := c.action.(shard.WriteObject); ok && c.response == nil {
			st.lateWrites = append(st.lateWrites, a)
		}
	}
	dead.calls = nil
	var copies []shard.Record
	for _, p := range dead.log.Pending() {
		if st.replicated(p) {
			copies = append(copies, p)
		}
	}
	for i := range st.submissions {
		st.handleRouterDeath(i, r)
	}
	for successor := range st.routers {
		if !st.routers[successor].dead {
			for n, p := range copies {
				st.applyEvent(successor, shard.Propose{Proposal: ticket(n, ticketAdopted), Record: p, Retain: true})
			}
			return
		}
	}
}

// handleRouterDeath ends a submission whose router died, or claims locally if
// the shard's owner died while the claim was forwarded.
func (st *State) handleRouterDeath(i, dead int) {
	s := &st.submissions[i]
	if s.router == dead && s.stage != stageNew {
		s.stage = stageDone
	} else if dead == 0 && s.stage == stageForwarded {
		st.breakLink(i)
	}
}

// replicated reports whether peers hold a copy of a pending record: the record
// was acknowledged as queued, by this router or by a dead one whose records this
// router adopted.
func (st *State) replicated(record shard.Record) bool {
	for i, s := range st.submissions {
		switch p := record.(type) {
		case shard.Bill:
			if p.Key == st.requestKey(i) && s.billAcked {
				return true
			}
		case shard.Outcome:
			if p.Key == st.requestKey(i) && s.outcomeAcked {
				return true
			}
		case shard.Release:
			if p.Nonce == claimNonce(i) {
				return true
			}
		}
	}
	return false
}

// handleReply applies a log's reply to a proposal.
func (st *State) handleReply(r int, reply shard.Reply) {
	i := int(reply.Proposal) / 10
	s := &st.submissions[i]
	switch int(reply.Proposal) % 10 {
	case ticketForwarded:
		if s.stage == stageForwarded {
			st.handleForwardReply(i, reply.Result)
		}
	case ticketClaim:
		if s.stage == stageClaiming && s.router == r {
			st.handleClaimResult(i, reply.Result)
		}
	case ticketOutcome:
		s.outcomeAcked = acknowledged(reply.Result)
		_, s.outcomeDurable = reply.Result.(shard.Durable)
		st.completeIfAcknowledged(i)
	case ticketBill:
		s.billAcked = acknowledged(reply.Result)
		_, s.billDurable = reply.Result.(shard.Durable)
		st.completeIfAcknowledged(i)
	}
}

// handleForwardReply applies the owner's reply, or claims locally if the owner is
// unavailable.
func (st *State) handleForwardReply(i int, result shard.Result) {
	u, ok := result.(shard.Unavailable)
	if !ok {
		st.handleClaimResult(i, result)
		return
	}
	st.submissions[i].claimUncertain = u.Written
	st.claimLocally(i)
}

func (st *State) handleClaimResult(i int, result shard.Result) {
	s := &st.submissions[i]
	switch r := result.(type) {
	case shard.Granted:
		s.stage, s.granted = stageGranted, true
	case shard.Taken:
		s.stage, s.result = stageDone, resultUnknown
		if r.Outcome != nil {
			s.result = resultAnswered
		}
	case shard.Released:
		s.stage, s.result = stageDone, resultNotRun
	case shard.Unavailable:
		st.refuse(i, r)
	}
}

// refuse reports "not run" to the caller, and releases the claim if it may have
// been written.
func (st *State) refuse(i int, u shard.Unavailable) {
	s := &st.submissions[i]
	s.stage, s.result = stageDone, resultNotRun
	if u.Written || s.claimUncertain {
		s.released = true
		st.applyEvent(s.router, shard.Propose{
			Proposal: ticket(i, ticketRelease), Retain: true,
			Record: shard.Release{Key: st.requestKey(i), Nonce: claimNonce(i), At: now},
		})
	}
}

// completeIfAcknowledged answers the caller once outcome and bill are
// acknowledged.
func (st *State) completeIfAcknowledged(i int) {
	s := &st.submissions[i]
	if s.stage == stageFinishing && s.outcomeAcked && s.billAcked {
		s.stage, s.result = stageDone, resultAnswered
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
