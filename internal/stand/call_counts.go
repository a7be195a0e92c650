package stand

import (
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// CallKind is the kind of a platform call.
type CallKind string

// Kinds of platform calls.
const (
	KindGet       CallKind = "get"
	KindList      CallKind = "list"
	KindPut       CallKind = "put"
	KindDelete    CallKind = "delete"
	KindWatch     CallKind = "watch"
	KindInstances CallKind = "instances"
	KindAnnounce  CallKind = "announce"
)

// CallCount has the totals of the calls of one kind and class.
type CallCount struct {
	Kind    CallKind   `json:"kind"`
	Class   plat.Class `json:"class"`
	Calls   int        `json:"calls"`   // including refused ones
	Refused int        `json:"refused"` // by the rate limit or because of StoreFaults.Down
	Bytes   int        `json:"bytes"`   // of values, read and written
}

type countKey struct {
	kind  CallKind
	class plat.Class
}

// Counts returns the totals so far, sorted by kind and class.
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

// Calls returns the number of calls of the given kinds so far, or of all kinds if
// none is given.
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
