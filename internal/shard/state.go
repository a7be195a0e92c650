package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// State is the result of applying a shard's records in order.
type State struct {
	claims         map[ident.RequestKey]claimEntry
	released       map[Nonce]Release
	bills          map[ident.RequestKey]Bill
	bindings       map[bindingKey]Binding
	duplicateBills int
}

// claimEntry is a claim and its outcome, if it has one.
type claimEntry struct {
	claim   Claim
	outcome Outcome
	done    bool // whether outcome is set
}

// bindingKey identifies a binding; a session may use several models.
type bindingKey struct {
	session ident.SessionKey
	model   ident.ModelID
}

// NewState returns the state of an empty shard.
func NewState() *State {
	return &State{
		claims:   map[ident.RequestKey]claimEntry{},
		released: map[Nonce]Release{},
		bills:    map[ident.RequestKey]Bill{},
		bindings: map[bindingKey]Binding{},
	}
}

// Apply applies the batch's records in order. Applying a record is idempotent.
func (s *State) Apply(batch Batch) {
	for _, r := range batch.Records {
		s.apply(r)
	}
}

// Decide returns the result of a record that the state already determines. It
// returns false if applying the record would change the state.
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
		b, ok := s.bindings[bindingKey{r.Session, r.Model}]
		return Bound{Version: b.Version}, ok && !rebinds(b, r)
	default:
		return nil, false
	}
}

// DuplicateBills returns the number of bills ignored because their key already
// had one.
func (s *State) DuplicateBills() int {
	return s.duplicateBills
}

// Expire removes claims, releases and bindings older than their retention.
func (s *State) Expire(now time.Time, settings Settings) {
	maps.DeleteFunc(s.claims, func(_ ident.RequestKey, e claimEntry) bool {
		return now.Sub(e.at()) > settings.ClaimRetention
	})
	maps.DeleteFunc(s.released, func(_ Nonce, r Release) bool {
		return now.Sub(r.At) > settings.ClaimRetention
	})
	maps.DeleteFunc(s.bindings, func(_ bindingKey, b Binding) bool {
		return now.Sub(b.At) > settings.BindingRetention
	})
}

// Records returns records that reproduce this state, except for its bills, when
// applied in order.
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
	for _, b := range s.bindings {
		b.Previous = ""
		records = append(records, b)
	}
	slices.SortStableFunc(records, func(a, b Record) int {
		return cmp.Compare(routingKey(a), routingKey(b))
	})
	return records
}

// removeBills removes a batch's bills, which have been written to bill segments.
func (s *State) removeBills(batch Batch) {
	for _, r := range batch.Records {
		if b, ok := r.(Bill); ok {
			delete(s.bills, b.Key)
		}
	}
}

func (e claimEntry) at() time.Time {
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
		k := bindingKey{r.Session, r.Model}
		if b, ok := s.bindings[k]; !ok || rebinds(b, r) {
			s.bindings[k] = r
		}
	}
}

func (s *State) applyClaim(c Claim) {
	if _, ok := s.decideClaim(c); !ok {
		s.claims[c.Key] = claimEntry{claim: c}
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
		s.duplicateBills++
		return
	}
	s.bills[b.Key] = b
}

// rebinds reports whether a binding record replaces an existing binding.
func rebinds(old, next Binding) bool {
	return next.Previous != "" && old.Version == next.Previous && next.Version != next.Previous
}
