package feed

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// quickTries is the number of routers that a search tries without a pause. A store that
	// turns away a third of the routers turns away so many in a row once in a hundred times.
	quickTries = 4
	// minTryPause and maxTryPause bound the pause after each further try, which doubles: by
	// then the store is likely away for all, and each try costs a snapshot.
	minTryPause = 500 * time.Millisecond
	maxTryPause = 8 * time.Second
)

// Search decides which routers to try, in order of rank, while a router's feed has no
// current data. It answers two loads: a store that turns away some routers, those among them
// that the others follow, and a store that is away for all. In the first one a current feed
// is to be found soon, in the second one there is none. It is not safe for concurrent use.
type Search struct {
	stale map[ident.RouterID]bool // found without current data in this round
	tries int
	next  time.Time // no router is tried before
}

// Next returns the first of some routers that has not been found without current data in
// this round, and false if none is to be tried yet. A new round begins once all have been
// found so.
func (s *Search) Next(now time.Time, routers []Peer) (Peer, bool) {
	if now.Before(s.next) || len(routers) == 0 {
		return Peer{}, false
	}
	for _, p := range routers {
		if !s.stale[p.Router] {
			return p, true
		}
	}
	clear(s.stale)
	return routers[0], true
}

// RecordTry records that a router is tried.
func (s *Search) RecordTry(now time.Time) {
	s.tries++
	if n := s.tries - quickTries; n >= 0 {
		s.next = now.Add(min(minTryPause<<min(n, 16), maxTryPause))
	}
}

// RecordStale records that a router was heard and has no current data.
func (s *Search) RecordStale(id ident.RouterID) {
	if s.stale == nil {
		s.stale = map[ident.RouterID]bool{}
	}
	s.stale[id] = true
}

// RecordSilent records that a router was not heard. That says nothing of the store, so that
// another one is tried in its place.
func (s *Search) RecordSilent() {
	s.tries = max(0, s.tries-1)
	s.next = time.Time{}
}

// Reset ends the search, since a current feed has been found.
func (s *Search) Reset() { *s = Search{} }
