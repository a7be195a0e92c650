package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// routersPerReader is the number of routers per elected reader. It is
	// bounded because a reader sends each of them a few frames a second.
	routersPerReader = 45
	// minBackoff and maxBackoff bound the time until a router that did not answer or sent
	// stale data is tried again; the time doubles with each try.
	minBackoff = 3 * time.Second
	maxBackoff = 30 * time.Second
)

// Peer is a router that others may follow.
type Peer struct {
	Router  ident.RouterID `json:"router"`
	Address string         `json:"address"` // host:port at which it serves followers
	// Priority ranks routers by their capacity to serve others. Routers with
	// the highest priority are elected as readers.
	Priority int          `json:"power"`
	Zone     ident.ZoneID `json:"zone,omitempty"`
	// Handoff is the host:port at which it takes requests that others hand over, "" if
	// it takes none.
	Handoff string `json:"handoff,omitempty"`
}

// Plan states whether a router reads the store itself, follows another, or both.
type Plan struct {
	ReadStore bool
	Elected   bool // the router is one of the readers that others follow
	Parent    Peer // the router to follow; none if its Router is ""
}

// Membership holds the known routers and elects those that read the store. All
// routers compute the same ranking and so agree without exchanging messages.
// Only this router skips a peer that it finds down, and a router that has
// followers reads the store even if it is not elected. Membership is not safe
// for concurrent use.
//
// It addresses routers that left for good: their entries stay in the store. A peer that
// was found down has no rank until it has been heard again; how long the pause before the
// next try was is remembered until then.
type Membership struct {
	self  ident.RouterID
	zone  ident.ZoneID // of this router
	peers []Peer       // in order of rank
	down  map[ident.RouterID]downState
}

type downState struct {
	until   time.Time
	backoff time.Duration
}

// NewMembership returns a Membership that contains self only.
func NewMembership(self Peer) *Membership {
	return &Membership{self: self.Router, zone: self.Zone, peers: []Peer{self}, down: map[ident.RouterID]downState{}}
}

// SetPeers replaces the known routers. This router is added if it is missing.
func (m *Membership) SetPeers(peers []Peer) {
	list := make([]Peer, 0, len(peers)+1)
	found := false
	for _, p := range peers {
		found = found || p.Router == m.self
		list = append(list, p)
	}
	if !found {
		list = append(list, Peer{Router: m.self, Zone: m.zone})
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(hashRank(a.Router), hashRank(b.Router)), cmp.Compare(a.Router, b.Router))
	})
	m.peers = list
}

// MarkDown records that a router does not answer or sends stale data.
func (m *Membership) MarkDown(now time.Time, id ident.RouterID) {
	d := m.down[id]
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	d.until = now.Add(d.backoff)
	m.down[id] = d
}

// MarkUp records that a router has sent fresh data, or has written its entry again.
func (m *Membership) MarkUp(id ident.RouterID) { delete(m.down, id) }

// PlanInput is the state on which a Plan depends.
type PlanInput struct {
	DataFresh    bool // this router's data is current, by its parent or by its own reading
	HasFollowers bool // other routers follow this one
	StoreDown    bool // this router's calls to the store fail
}

// Probe returns the highest ranked of the routers that are down and due to be tried
// again, none if its Router is "".
func (m *Membership) Probe(now time.Time) Peer {
	for _, p := range m.peers {
		if d, down := m.down[p.Router]; down && p.Router != m.self && !now.Before(d.until) {
			return p
		}
	}
	return Peer{}
}

// Others returns the other routers that are not down: the elected readers, then the rest
// in order of rank.
func (m *Membership) Others() []Peer {
	list := m.electReaders()
	for _, p := range m.peers {
		if !m.isDown(p.Router) && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return slices.DeleteFunc(list, func(p Peer) bool { return p.Router == m.self })
}

// Plan returns what this router should do.
func (m *Membership) Plan(s PlanInput) Plan {
	readers := m.electReaders()
	self := slices.IndexFunc(readers, func(p Peer) bool { return p.Router == m.self })
	switch {
	case self == 0 && s.StoreDown:
		return Plan{ReadStore: true, Elected: true, Parent: m.nextPeer()}
	case self == 0:
		return Plan{ReadStore: true, Elected: true}
	case self > 0:
		return Plan{ReadStore: true, Elected: true, Parent: readers[0]}
	}
	return Plan{ReadStore: !s.DataFresh || s.HasFollowers, Parent: m.parentAmong(readers)}
}

// parentAmong returns the reader to follow: one of this router's zone, if there is any,
// so that feeds cross zones only between readers.
func (m *Membership) parentAmong(readers []Peer) Peer {
	near := slices.DeleteFunc(slices.Clone(readers), func(p Peer) bool { return p.Zone != m.zone })
	if len(near) == 0 {
		near = readers
	}
	return near[hashRank(m.self)%uint64(len(near))]
}

// nextPeer returns the highest ranked router that is neither this one nor down.
// It starts to read the store once it has a follower.
func (m *Membership) nextPeer() Peer {
	for _, p := range m.peers {
		if p.Router != m.self && !m.isDown(p.Router) {
			return p
		}
	}
	return Peer{}
}

// electReaders returns the routers that should read the store: the highest ranked one,
// then the highest ranked ones of the zones that have the fewest so far.
func (m *Membership) electReaders() []Peer {
	want := (len(m.peers) + routersPerReader - 1) / routersPerReader
	list := make([]Peer, 0, want)
	elected := map[ident.ZoneID]int{}
	chosen := make([]bool, len(m.peers))
	for round := 0; len(list) < want; round++ {
		left := false
		for i, p := range m.peers {
			if chosen[i] || m.isDown(p.Router) || len(list) == want {
				continue
			}
			if elected[p.Zone] > round {
				left = true
				continue
			}
			chosen[i] = true
			elected[p.Zone]++
			list = append(list, p)
		}
		if !left {
			break
		}
	}
	return list
}

// isDown reports whether a router, other than this one, has not been heard since it was
// found down.
func (m *Membership) isDown(id ident.RouterID) bool {
	_, down := m.down[id]
	return down && id != m.self
}

// WouldRead reports whether a router that is down would be an elected reader if it were not.
func (m *Membership) WouldRead(id ident.RouterID) bool {
	if d, down := m.down[id]; down {
		delete(m.down, id)
		defer func() { m.down[id] = d }()
	}
	return slices.ContainsFunc(m.electReaders(), func(p Peer) bool { return p.Router == id })
}

func hashRank(id ident.RouterID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }
