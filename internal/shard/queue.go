package shard

import "time"

// proposal is a queued record that has no reply yet or is not durable yet.
type proposal struct {
	id           ProposalID
	record       Record
	encoded      []byte
	retain       bool
	answered     bool // replied to with Queued, or cancelled
	inFlight     bool // part of the write in progress
	maybeWritten bool // part of an earlier write whose result is unknown
	precedesCall bool // was queued when the last call started
}

func (l *Log) propose(now time.Time, e Propose) {
	if result, ok := l.decide(e.Record); ok && final(result) {
		l.reply(e.Proposal, result)
		return
	}
	text, err := encodeChecked(e.Record)
	claim := isClaim(e.Record)
	limit := l.settings.MaxQueued
	if claim {
		limit /= 2
	}
	if err != nil || len(l.queue) >= limit {
		l.counts.QueueFull++
		l.reply(e.Proposal, Unavailable{After: l.settings.RetryDelay, Full: true})
		return
	}
	p := proposal{id: e.Proposal, record: e.Record, encoded: text, retain: e.Retain}
	if !now.Before(l.unavailableUntil) || l.refuseProposal(now, &p) {
		l.queue = append(l.queue, p)
	}
}

func (l *Log) cancel(now time.Time, id ProposalID) {
	for i, p := range l.queue {
		if p.answered || p.id != id {
			continue
		}
		if !isClaim(p.record) && p.retain {
			l.queue[i].answered = true
			l.reply(id, Queued{})
			return
		}
		l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
		l.reply(id, Unavailable{After: retryAfter(now, l.unavailableUntil), Written: p.maybeWritten || p.inFlight})
		return
	}
}

// replyDecided replies to the proposals whose result the state determines. A claim
// that is taken without an outcome gets its reply only when the state is current,
// that is, when it includes all batches written before the call began.
func (l *Log) replyDecided(current bool) {
	rest := l.queue[:0:0]
	for _, p := range l.queue {
		result, ok := l.decide(p.record)
		if ok && (final(result) || current && p.precedesCall) {
			if !p.answered {
				l.reply(p.id, result)
			}
			continue
		}
		rest = append(rest, p)
	}
	l.queue = rest
}

// buildBatch builds the next batch from queued records whose result the state does
// not determine yet, and returns it with its encoding.
func (l *Log) buildBatch() (Batch, []byte) {
	batch := Batch{Sequence: l.next, Nonce: l.nonce()}
	var encoded [][]byte
	size := 0
	for i := range l.queue {
		p := &l.queue[i]
		if _, decided := l.decide(p.record); decided {
			continue
		}
		size += len(p.encoded) + 1
		if len(batch.Records) == l.settings.MaxBatchRecords || len(encoded) > 0 && size > l.settings.MaxBatchBytes {
			break
		}
		p.inFlight = true
		batch.Records = append(batch.Records, p.record)
		encoded = append(encoded, p.encoded)
	}
	return batch, encodeBatch(batch, encoded)
}

// needsRead reports whether a queued proposal can be answered once the state is
// known to be current.
func (l *Log) needsRead() bool {
	for _, p := range l.queue {
		if _, decided := l.decide(p.record); decided {
			return true
		}
	}
	return false
}

// refuseQueued replies to the queued proposals while the platform is unavailable,
// and removes those that can't wait for it.
func (l *Log) refuseQueued(now time.Time) {
	rest := l.queue[:0:0]
	for _, p := range l.queue {
		if l.refuseProposal(now, &p) {
			rest = append(rest, p)
		}
	}
	l.queue = rest
}

// refuseProposal replies to a proposal while the platform is unavailable, and
// reports whether its record stays queued.
func (l *Log) refuseProposal(now time.Time, p *proposal) bool {
	if p.answered {
		return p.retain
	}
	if result, decided := l.decide(p.record); decided {
		l.reply(p.id, result)
		return false
	}
	if p.retain && !isClaim(p.record) {
		p.answered = true
		l.reply(p.id, Queued{})
		return true
	}
	l.counts.Refused++
	l.reply(p.id, Unavailable{After: retryAfter(now, l.unavailableUntil), Written: p.maybeWritten || p.inFlight})
	return false
}

func (l *Log) decide(record Record) (Result, bool) {
	if !l.loaded {
		return nil, false
	}
	return l.state.Decide(record)
}

// final reports whether no later record can change the result.
func final(result Result) bool {
	taken, ok := result.(Taken)
	return !ok || taken.Outcome != nil
}

func isClaim(record Record) bool {
	_, ok := record.(Claim)
	return ok
}

// recordWriteEnd updates the proposals that were part of the write that ended.
func (l *Log) recordWriteEnd(uncertain bool) {
	for i := range l.queue {
		p := &l.queue[i]
		p.maybeWritten = p.maybeWritten || p.inFlight && uncertain
		p.inFlight = false
	}
}
