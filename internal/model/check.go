package model

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// reading is what a router that starts now finds in the store.
type reading struct {
	broken string
	billed map[ident.RequestKey]int
	claims map[ident.RequestKey]shard.Taken
}

// readings keeps what was read from each content of the store.
type readings map[uint64]reading

// check names the invariant that the world breaks, or gives nothing.
func (w *World) check(cache readings) string {
	sent := map[ident.RequestKey]int{}
	for i, s := range w.requests {
		if s.sent && !s.request.Idempotent {
			sent[w.key(i)]++
		}
		if s.sent && s.verdict == verdictNotRun {
			return fmt.Sprintf("submission %d was told not run and was sent", i)
		}
		if s.expects && s.verdict == verdictUnknown && w.faults.Refusals == w.scenario.Faults.Refusals {
			return fmt.Sprintf("submission %d was told unknown, though the outcome was durable", i)
		}
	}
	for key, n := range sent {
		if n > 1 {
			return fmt.Sprintf("request %s ran %d times", key, n)
		}
	}
	h := xxhash.New()
	w.store.digest(h)
	r, ok := cache[h.Sum64()]
	if !ok {
		r = w.read()
		cache[h.Sum64()] = r
	}
	return w.checkStore(r)
}

// read loads the shard afresh, for all that was submitted.
func (w *World) read() reading {
	r := reading{billed: map[ident.RequestKey]int{}, claims: map[ident.RequestKey]shard.Taken{}}
	bills, err := shard.ReadBills(context.Background(), w.store)
	if err != nil {
		r.broken = "bills can't be read: " + err.Error()
	}
	for _, b := range bills {
		r.billed[b.Key]++
	}
	settings := shard.Defaults()
	settings.RingSize = w.scenario.Ring
	state, err := shard.LoadState(context.Background(), w.store, 0, settings)
	if err != nil {
		r.broken = "shard can't be loaded: " + err.Error()
		return r
	}
	for i := range w.requests {
		result, _ := state.Decide(shard.Claim{Key: w.key(i), Nonce: "probe"})
		if taken, ok := result.(shard.Taken); ok {
			r.claims[w.key(i)] = taken
		}
	}
	return r
}

// checkStore looks for what was acknowledged.
func (w *World) checkStore(r reading) string {
	if r.broken != "" {
		return r.broken
	}
	settled := w.settled()
	for i, s := range w.requests {
		n := r.billed[w.key(i)]
		switch {
		case n > 1:
			return fmt.Sprintf("request %s is billed %d times", w.key(i), n)
		case s.durable && n == 0:
			return fmt.Sprintf("durable bill of submission %d is gone", i)
		case settled && s.verdict == verdictAnswer && n == 0:
			return fmt.Sprintf("answer of submission %d is never billed", i)
		}
		if broken := w.checkClaim(i, r.claims[w.key(i)], settled); broken != "" {
			return broken
		}
	}
	return ""
}

// checkClaim looks for a submission's claim and outcome.
func (w *World) checkClaim(i int, taken shard.Taken, settled bool) string {
	s := w.requests[i]
	if s.request.Idempotent || s.stage == stageNew {
		return ""
	}
	holds := taken.By.Nonce == nonce(i)
	switch {
	case s.granted && !s.released && !holds:
		return fmt.Sprintf("granted claim of submission %d is gone", i)
	case s.recorded && taken.Outcome == nil:
		return fmt.Sprintf("durable outcome of submission %d is gone", i)
	case settled && s.verdict == verdictAnswer && taken.Outcome == nil:
		return fmt.Sprintf("outcome of submission %d was never written", i)
	case settled && holds && s.verdict == verdictNotRun && !w.routers[s.router].dead:
		return fmt.Sprintf("claim of submission %d stands for ever, though it never ran", i)
	}
	return ""
}

// settled tells whether nothing but late writes and new submissions can happen
// any more.
func (w *World) settled() bool {
	for _, r := range w.routers {
		if !r.dead && (len(r.calls) > 0 || len(r.log.Pending()) > 0 || !r.log.Idle()) {
			return false
		}
	}
	for _, s := range w.requests {
		if s.stage != stageNew && s.stage != stageDone {
			return false
		}
	}
	return len(w.late) == 0
}

// earlier tells whether a caller was told "not run" of a key that an earlier
// submission had run: true of the submission, but not of the key.
func (w *World) earlier() bool {
	for i, s := range w.requests {
		if s.verdict != verdictNotRun {
			continue
		}
		for _, e := range w.requests[:i] {
			if e.sent && e.request.Key == s.request.Key {
				return true
			}
		}
	}
	return false
}
