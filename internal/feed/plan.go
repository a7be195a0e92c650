package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// followersEach is the number of routers for which one more router reads
	// the store: a reader sends each of them a few frames a second.
	followersEach = 45
	// downFirst and downLast bound how long a router that did not answer, or
	// whose news were old, is passed over; the time doubles.
	downFirst = 3 * time.Second
	downLast  = 30 * time.Second
)

// Peer is a router that others may follow.
type Peer struct {
	Router  ident.RouterID `json:"router"`
	Address string         `json:"address"` // host:port of its feed
	// Power is how well it can serve others: the greater, the sooner it reads
	// for them.
	Power int `json:"power"`
}

// Plan is what a router does: read the store itself, follow another, or both.
type Plan struct {
	Read   bool
	Reader bool // it is among those that read for others
	Follow Peer // none if its Router is ""
}

// Roster decides who reads the store. All routers rank each other alike, so
// that they agree without a message; one that is down for this router is
// passed over by it alone, and whoever is followed reads. It belongs to one
// goroutine.
type Roster struct {
	self  ident.RouterID
	peers []Peer // by rank
	down  map[ident.RouterID]absence
}

type absence struct {
	until time.Time
	pause time.Duration
}

// NewRoster makes the roster of a router that knows of no other.
func NewRoster(self Peer) *Roster {
	return &Roster{self: self.Router, peers: []Peer{self}, down: map[ident.RouterID]absence{}}
}

// Know replaces the routers that are known.
func (r *Roster) Know(peers []Peer) {
	list := make([]Peer, 0, len(peers)+1)
	found := false
	for _, p := range peers {
		found = found || p.Router == r.self
		list = append(list, p)
	}
	if !found {
		list = append(list, Peer{Router: r.self})
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(a.Router), rank(b.Router)), cmp.Compare(a.Router, b.Router))
	})
	r.peers = list
}

// Down notes that a router does not answer or has old news.
func (r *Roster) Down(now time.Time, id ident.RouterID) {
	a := r.down[id]
	a.pause = min(max(2*a.pause, downFirst), downLast)
	a.until = now.Add(a.pause)
	r.down[id] = a
}

// Up notes that a router has sent fresh news.
func (r *Roster) Up(id ident.RouterID) { delete(r.down, id) }

// State is what a plan depends on.
type State struct {
	Fresh    bool // the router now followed sends fresh news
	Followed bool // others follow this one
	Cut      bool // the store does not answer this router
}

// Plan decides.
func (r *Roster) Plan(now time.Time, s State) Plan {
	readers := r.readers(now)
	at := slices.IndexFunc(readers, func(p Peer) bool { return p.Router == r.self })
	switch {
	case at == 0 && s.Cut:
		return Plan{Read: true, Reader: true, Follow: r.after(now)}
	case at == 0:
		return Plan{Read: true, Reader: true}
	case at > 0:
		return Plan{Read: true, Reader: true, Follow: readers[0]}
	}
	mine := readers[rank(r.self)%uint64(len(readers))]
	return Plan{Read: !s.Fresh || s.Followed, Follow: mine}
}

// after gives the first router of the ranking that is not this one: it reads
// once it is followed.
func (r *Roster) after(now time.Time) Peer {
	for _, p := range r.peers {
		if a, ok := r.down[p.Router]; p.Router != r.self && (!ok || !now.Before(a.until)) {
			return p
		}
	}
	return Peer{}
}

// readers lists the routers that should read the store, by rank.
func (r *Roster) readers(now time.Time) []Peer {
	want := (len(r.peers) + followersEach - 1) / followersEach
	list := make([]Peer, 0, want)
	for _, p := range r.peers {
		if len(list) == want {
			break
		}
		if a, ok := r.down[p.Router]; ok && now.Before(a.until) && p.Router != r.self {
			continue
		}
		list = append(list, p)
	}
	return list
}

func rank(id ident.RouterID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }
