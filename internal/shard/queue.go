package shard

import "time"

// proposal is a record that is not answered or not durable yet.
type proposal struct {
	ticket  ProposalID
	record  Record
	text    []byte
	keep    bool
	quiet   bool // answered with Queued or abandoned
	flying  bool // is part of the outstanding write
	written bool // was part of a write whose outcome is not known
	asked   bool // waited when the outstanding call was made
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
	p := proposal{ticket: e.Proposal, record: e.Record, text: text, keep: e.Retain}
	if !now.Before(l.away) || l.refuseOne(now, &p) {
		l.queue = append(l.queue, p)
	}
}

func (l *Log) abandon(now time.Time, ticket ProposalID) {
	for i, p := range l.queue {
		if p.quiet || p.ticket != ticket {
			continue
		}
		if !isClaim(p.record) && p.keep {
			l.queue[i].quiet = true
			l.reply(ticket, Queued{})
			return
		}
		l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
		l.reply(ticket, Unavailable{After: retryAfter(now, l.away), Written: p.written || p.flying})
		return
	}
}

// settle answers the proposals that the state decides. A claim that is taken
// without an outcome is answered only once the state is known to be current.
func (l *Log) settle(current bool) {
	rest := l.queue[:0:0]
	for _, p := range l.queue {
		result, ok := l.decide(p.record)
		if ok && (final(result) || current && p.asked) {
			if !p.quiet {
				l.reply(p.ticket, result)
			}
			continue
		}
		rest = append(rest, p)
	}
	l.queue = rest
}

// gather makes the next batch of the records that the state does not decide.
func (l *Log) gather() (Batch, []byte) {
	batch := Batch{Sequence: l.next, Nonce: l.nonce()}
	var texts [][]byte
	size := 0
	for i := range l.queue {
		p := &l.queue[i]
		if _, decided := l.decide(p.record); decided {
			continue
		}
		size += len(p.text) + 1
		if len(batch.Records) == l.settings.MaxBatchRecords || len(texts) > 0 && size > l.settings.MaxBatchBytes {
			break
		}
		p.flying = true
		batch.Records = append(batch.Records, p.record)
		texts = append(texts, p.text)
	}
	return batch, joinBatch(batch, texts)
}

// waiting tells whether a proposal needs to know that the state is current.
func (l *Log) waiting() bool {
	for _, p := range l.queue {
		if _, decided := l.decide(p.record); decided {
			return true
		}
	}
	return false
}

// refuse answers all that can't wait for the platform to come back.
func (l *Log) refuse(now time.Time) {
	rest := l.queue[:0:0]
	for _, p := range l.queue {
		if l.refuseOne(now, &p) {
			rest = append(rest, p)
		}
	}
	l.queue = rest
}

// refuseOne answers a proposal while the platform is away, and tells whether
// its record stays in the queue.
func (l *Log) refuseOne(now time.Time, p *proposal) bool {
	if p.quiet {
		return p.keep
	}
	if result, decided := l.decide(p.record); decided {
		l.reply(p.ticket, result)
		return false
	}
	if p.keep && !isClaim(p.record) {
		p.quiet = true
		l.reply(p.ticket, Queued{})
		return true
	}
	l.counts.Refused++
	l.reply(p.ticket, Unavailable{After: retryAfter(now, l.away), Written: p.written || p.flying})
	return false
}

func (l *Log) decide(record Record) (Result, bool) {
	if !l.loaded {
		return nil, false
	}
	return l.state.Decide(record)
}

// final tells whether a later record can't change the result.
func final(result Result) bool {
	taken, ok := result.(Taken)
	return !ok || taken.Outcome != nil
}

func isClaim(record Record) bool {
	_, ok := record.(Claim)
	return ok
}

// landed notes the end of the outstanding write for the records in it.
func (l *Log) landed(uncertain bool) {
	for i := range l.queue {
		p := &l.queue[i]
		p.written = p.written || p.flying && uncertain
		p.flying = false
	}
}
