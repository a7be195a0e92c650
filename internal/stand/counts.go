package stand

import (
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Kind is a kind of platform call.
type CallKind string

// The kinds of platform calls.
const (
	KindGet       CallKind = "get"
	KindList      CallKind = "list"
	KindPut       CallKind = "put"
	KindDelete    CallKind = "delete"
	KindWatch     CallKind = "watch"
	KindInstances CallKind = "instances"
	KindAnnounce  CallKind = "announce"
)

// Count sums up the calls of one kind and class.
type CallCount struct {
	Kind    CallKind   `json:"kind"`
	Class   plat.Class `json:"class"`
	Calls   int        `json:"calls"`   // refused ones included
	Refused int        `json:"refused"` // by the rate or because of Faults.Down
	Bytes   int        `json:"bytes"`   // of values, both ways
}

type countKey struct {
	kind  CallKind
	class plat.Class
}

// Counts gives the calls so far, sorted by kind and class.
func (s *Store) Counts() []CallCount {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []CallCount{}
	for k, c := range s.counts {
		c.Kind = k.kind
		c.Class = k.class
		found = append(found, c)
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Kind != found[j].Kind {
			return found[i].Kind < found[j].Kind
		}
		return found[i].Class < found[j].Class
	})
	return found
}

// Calls gives the number of calls of the kinds so far, or of all if none is
// named.
func (s *Store) Calls(kinds ...CallKind) int {
	total := 0
	for _, c := range s.Counts() {
		if len(kinds) == 0 || contains(kinds, c.Kind) {
			total += c.Calls
		}
	}
	return total
}

func (s *Store) addCall(kind CallKind, class plat.Class, bytes int) {
	k := countKey{kind: kind, class: class}
	c := s.counts[k]
	c.Calls++
	c.Bytes += bytes
	s.counts[k] = c
}

func (s *Store) addBytes(kind CallKind, class plat.Class, bytes int) {
	k := countKey{kind: kind, class: class}
	c := s.counts[k]
	c.Bytes += bytes
	s.counts[k] = c
}

func (s *Store) addRefusal(kind CallKind, class plat.Class) {
	k := countKey{kind: kind, class: class}
	c := s.counts[k]
	c.Refused++
	s.counts[k] = c
}

func (k CallKind) writes() bool {
	return k == KindPut || k == KindDelete || k == KindAnnounce
}

func contains(kinds []CallKind, kind CallKind) bool {
	for _, k := range kinds {
		if k == kind {
			return true
		}
	}
	return false
}
