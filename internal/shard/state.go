package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// State is the fold of a shard's records.
type State struct {
	claims   map[ident.RequestKey]entry
	released map[Nonce]Release
	bills    map[ident.RequestKey]Bill
	binds    map[bindKey]Binding
	doubled  int
}

// entry is a claim with its outcome, once there is one.
type entry struct {
	claim   Claim
	outcome Outcome
	done    bool // outcome is set
}

// bindKey identifies a binding: a session may use several models.
type bindKey struct {
	session ident.SessionKey
	model   ident.ModelID
}

// NewState gives the state of an empty shard.
func NewState() *State {
	return &State{
		claims:   map[ident.RequestKey]entry{},
		released: map[Nonce]Release{},
		bills:    map[ident.RequestKey]Bill{},
		binds:    map[bindKey]Binding{},
	}
}

// Apply folds the batch's records in order. Applying a record again changes
// nothing.
func (s *State) Apply(batch Batch) {
	for _, r := range batch.Records {
		s.apply(r)
	}
}

// Decide answers a record from the state alone. It fails to answer (false) as
// long as the record would still change the state.
func (s *State) Decide(record Record) (Result, bool) {
	switch r := record.(type) {
	case Claim:
		return s.decideClaim(r)
	case Outcome:
		e, ok := s.claims[r.Key]
		return Durable{}, ok && e.done
	case Release:
		_, ok := s.released[r.Nonce]
		return Durable{}, ok
	case Bill:
		_, ok := s.bills[r.Key]
		return Durable{}, ok
	case Binding:
		b, ok := s.binds[bindKey{r.Session, r.Model}]
		return Bound{Version: b.Version}, ok && !moves(b, r)
	default:
		return nil, false
	}
}

// Doubled counts the bills that changed nothing, as their key had one.
func (s *State) DuplicateBills() int {
	return s.doubled
}

// Expire drops the claims, releases and bindings that are too old to be kept.
func (s *State) Expire(now time.Time, settings Settings) {
	maps.DeleteFunc(s.claims, func(_ ident.RequestKey, e entry) bool {
		return now.Sub(e.at()) > settings.ClaimRetention
	})
	maps.DeleteFunc(s.released, func(_ Nonce, r Release) bool {
		return now.Sub(r.At) > settings.ClaimRetention
	})
	maps.DeleteFunc(s.binds, func(_ bindKey, b Binding) bool {
		return now.Sub(b.At) > settings.BindingRetention
	})
}

// Records gives records whose fold is this state, bills left out.
func (s *State) Records() []Record {
	var records []Record
	for _, r := range s.released {
		records = append(records, r)
	}
	for _, e := range s.claims {
		if e.claim.Nonce != "" {
			records = append(records, e.claim)
		}
		if e.done {
			records = append(records, e.outcome)
		}
	}
	for _, b := range s.binds {
		b.Previous = ""
		records = append(records, b)
	}
	slices.SortStableFunc(records, func(a, b Record) int {
		return cmp.Compare(routingKey(a), routingKey(b))
	})
	return records
}

// forgetBills drops the bills of a batch that now stand in bill segments.
func (s *State) forgetBills(batch Batch) {
	for _, r := range batch.Records {
		if b, ok := r.(Bill); ok {
			delete(s.bills, b.Key)
		}
	}
}

func (e entry) at() time.Time {
	if e.done {
		return e.outcome.At
	}
	return e.claim.At
}

func (s *State) decideClaim(c Claim) (Result, bool) {
	if _, ok := s.released[c.Nonce]; ok {
		return Released{}, true
	}
	e, ok := s.claims[c.Key]
	if !ok {
		return nil, false
	}
	if e.claim.Nonce == c.Nonce {
		return Granted{}, true
	}
	if !e.done {
		return Taken{By: e.claim}, true
	}
	outcome := e.outcome
	return Taken{By: e.claim, Outcome: &outcome}, true
}

func (s *State) apply(record Record) {
	switch r := record.(type) {
	case Claim:
		s.applyClaim(r)
	case Outcome:
		s.applyOutcome(r)
	case Release:
		s.applyRelease(r)
	case Bill:
		s.applyBill(r)
	case Binding:
		k := bindKey{r.Session, r.Model}
		if b, ok := s.binds[k]; !ok || moves(b, r) {
			s.binds[k] = r
		}
	}
}

func (s *State) applyClaim(c Claim) {
	if _, ok := s.decideClaim(c); !ok {
		s.claims[c.Key] = entry{claim: c}
	}
}

func (s *State) applyOutcome(o Outcome) {
	e := s.claims[o.Key]
	if !e.done {
		e.outcome, e.done = o, true
		s.claims[o.Key] = e
	}
}

func (s *State) applyRelease(r Release) {
	s.released[r.Nonce] = r
	e, ok := s.claims[r.Key]
	if ok && e.claim.Nonce == r.Nonce && !e.done {
		delete(s.claims, r.Key)
	}
}

func (s *State) applyBill(b Bill) {
	if _, ok := s.bills[b.Key]; ok {
		s.doubled++
		return
	}
	s.bills[b.Key] = b
}

// moves tells whether a bind changes an existing binding.
func moves(old, next Binding) bool {
	return next.Previous != "" && old.Version == next.Previous && next.Version != next.Previous
}
