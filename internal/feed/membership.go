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
	routersPerReader = 45
	// downFirst and downLast bound how long a router that did not answer, or
	// whose news were old, is passed over; the time doubles.
	minBackoff = 3 * time.Second
	maxBackoff = 30 * time.Second
)

// Peer is a router that others may follow.
type Peer struct {
	Router  ident.RouterID `json:"router"`
	Address string         `json:"address"` // host:port of its feed
	// Power is how well it can serve others: the greater, the sooner it reads
	// for them.
	Priority int `json:"power"`
}

// Plan is what a router does: read the store itself, follow another, or both.
type Plan struct {
	ReadStore bool
	Elected   bool // it is among those that read for others
	Parent    Peer // none if its Router is ""
}

// Roster decides who reads the store. All routers rank each other alike, so
// that they agree without a message; one that is down for this router is
// passed over by it alone, and whoever is followed reads. It belongs to one
// goroutine.
type Membership struct {
	self  ident.RouterID
	peers []Peer // by rank
	down  map[ident.RouterID]downState
}

type downState struct {
	until   time.Time
	backoff time.Duration
}

// NewRoster makes the roster of a router that knows of no other.
func NewMembership(self Peer) *Membership {
	return &Membership{self: self.Router, peers: []Peer{self}, down: map[ident.RouterID]downState{}}
}

// Know replaces the routers that are known.
func (r *Membership) SetPeers(peers []Peer) {
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
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(hashRank(a.Router), hashRank(b.Router)), cmp.Compare(a.Router, b.Router))
	})
	r.peers = list
}

// Down notes that a router does not answer or has old news.
func (r *Membership) MarkDown(now time.Time, id ident.RouterID) {
	a := r.down[id]
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.until = now.Add(a.backoff)
	r.down[id] = a
}

// Up notes that a router has sent fresh news.
func (r *Membership) MarkUp(id ident.RouterID) { delete(r.down, id) }

// State is what a plan depends on.
type PlanInput struct {
	ParentFresh  bool // the router now followed sends fresh news
	HasFollowers bool // others follow this one
	StoreDown    bool // the store does not answer this router
}

// Plan decides.
func (r *Membership) Plan(now time.Time, s PlanInput) Plan {
	readers := r.electReaders(now)
	at := slices.IndexFunc(readers, func(p Peer) bool { return p.Router == r.self })
	switch {
	case at == 0 && s.StoreDown:
		return Plan{ReadStore: true, Elected: true, Parent: r.nextPeer(now)}
	case at == 0:
		return Plan{ReadStore: true, Elected: true}
	case at > 0:
		return Plan{ReadStore: true, Elected: true, Parent: readers[0]}
	}
	mine := readers[hashRank(r.self)%uint64(len(readers))]
	return Plan{ReadStore: !s.ParentFresh || s.HasFollowers, Parent: mine}
}

// after gives the first router of the ranking that is not this one: it reads
// once it is followed.
func (r *Membership) nextPeer(now time.Time) Peer {
	for _, p := range r.peers {
		if a, ok := r.down[p.Router]; p.Router != r.self && (!ok || !now.Before(a.until)) {
			return p
		}
	}
	return Peer{}
}

// readers lists the routers that should read the store, by rank.
func (r *Membership) electReaders(now time.Time) []Peer {
	want := (len(r.peers) + routersPerReader - 1) / routersPerReader
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

func hashRank(id ident.RouterID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }
