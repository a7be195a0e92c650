package model

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// recoveredStore is what a router that starts now would load from the store.
type recoveredStore struct {
	violation  string
	billCounts map[ident.RequestKey]int
	claims     map[ident.RequestKey]shard.Taken
}

// recoveryCache maps a digest of the store to what is recovered from it.
type recoveryCache map[uint64]recoveredStore

// checkInvariants describes the invariant that the state violates, or returns an
// empty string.
func (st *State) checkInvariants(cache recoveryCache) string {
	sent := map[ident.RequestKey]int{}
	for i, s := range st.submissions {
		if s.sent && !s.request.Idempotent {
			sent[st.requestKey(i)]++
		}
		if s.sent && s.result == resultNotRun {
			return fmt.Sprintf("submission %d was reported as not run, but was sent", i)
		}
		if s.outcomeExpected && s.result == resultUnknown && st.faults.Refusals == st.scenario.Faults.Refusals {
			return fmt.Sprintf("submission %d was reported as unknown, although its outcome was durable", i)
		}
	}
	for key, n := range sent {
		if n > 1 {
			return fmt.Sprintf("request %s ran %d times", key, n)
		}
	}
	h := xxhash.New()
	st.store.digest(h)
	r, ok := cache[h.Sum64()]
	if !ok {
		r = st.recoverStore()
		cache[h.Sum64()] = r
	}
	return st.checkStore(r)
}

// recoverStore loads bills and the shard from the store, as a starting router
// does, and looks up the claims of all submissions.
func (st *State) recoverStore() recoveredStore {
	r := recoveredStore{billCounts: map[ident.RequestKey]int{}, claims: map[ident.RequestKey]shard.Taken{}}
	bills, err := shard.ReadBills(context.Background(), st.store)
	if err != nil {
		r.violation = "reading bills: " + err.Error()
	}
	for _, b := range bills {
		r.billCounts[b.Key]++
	}
	settings := shard.Defaults()
	settings.RingSize = st.scenario.Ring
	state, err := shard.LoadState(context.Background(), st.store, 0, settings)
	if err != nil {
		r.violation = "loading shard: " + err.Error()
		return r
	}
	for i := range st.submissions {
		result, _ := state.Decide(shard.Claim{Key: st.requestKey(i), Nonce: "probe"})
		if taken, ok := result.(shard.Taken); ok {
			r.claims[st.requestKey(i)] = taken
		}
	}
	return r
}

// checkStore checks that all acknowledged records are in the store.
func (st *State) checkStore(r recoveredStore) string {
	if r.violation != "" {
		return r.violation
	}
	quiescent := st.quiescent()
	for i, s := range st.submissions {
		n := r.billCounts[st.requestKey(i)]
		switch {
		case n > 1:
			return fmt.Sprintf("request %s is billed %d times", st.requestKey(i), n)
		case s.billDurable && n == 0:
			return fmt.Sprintf("durable bill of submission %d is missing", i)
		case quiescent && s.result == resultAnswered && n == 0:
			return fmt.Sprintf("submission %d was answered, but is not billed", i)
		}
		if violation := st.checkClaim(i, r.claims[st.requestKey(i)], quiescent); violation != "" {
			return violation
		}
	}
	return ""
}

// checkClaim checks that a submission's claim and outcome are in the store.
func (st *State) checkClaim(i int, taken shard.Taken, quiescent bool) string {
	s := st.submissions[i]
	if s.request.Idempotent || s.stage == stageNew {
		return ""
	}
	holds := taken.By.Nonce == claimNonce(i)
	switch {
	case s.granted && !s.released && !holds:
		return fmt.Sprintf("granted claim of submission %d is missing", i)
	case s.outcomeDurable && taken.Outcome == nil:
		return fmt.Sprintf("durable outcome of submission %d is missing", i)
	case quiescent && s.result == resultAnswered && taken.Outcome == nil:
		return fmt.Sprintf("submission %d was answered, but its outcome was not written", i)
	case quiescent && holds && s.result == resultNotRun && !st.routers[s.router].dead:
		return fmt.Sprintf("claim of submission %d is never released, although it did not run", i)
	}
	return ""
}

// quiescent reports whether the only possible transitions are new submissions:
// no calls, pending records or late writes are left.
func (st *State) quiescent() bool {
	for _, r := range st.routers {
		if !r.dead && (len(r.calls) > 0 || len(r.log.Pending()) > 0 || !r.log.Idle()) {
			return false
		}
	}
	for _, s := range st.submissions {
		if s.stage != stageNew && s.stage != stageDone {
			return false
		}
	}
	return len(st.lateWrites) == 0
}

// notRunAfterEarlierRun reports whether a caller got "not run" for a key that an
// earlier submission had run. That is correct for the submission, although not
// for the key.
func (st *State) notRunAfterEarlierRun() bool {
	for i, s := range st.submissions {
		if s.result != resultNotRun {
			continue
		}
		for _, e := range st.submissions[:i] {
			if e.sent && e.request.Key == s.request.Key {
				return true
			}
		}
	}
	return false
}
