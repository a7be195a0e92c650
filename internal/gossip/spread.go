package gossip

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// spread is the state of one item's way through a fleet: a deterministic model
// of messages only, without time inside a hop and without connections.
type spread struct {
	random *source
	loss   float64
	zones  int
	hashes []uint64 // of the routers' ids, for the tree
	knows  []bool
	sent   []int // messages by router
	taken  []int
	hops   int
}

// parcel is a message on its way; depth is used by the tree alone.
type parcel struct{ to, depth int }

// strategy is a way to pass an urgent item on.
type strategy interface {
	name() string
	// pass gives what a router sends when it first hears of the item.
	pass(s *spread, router, depth int) []parcel
}

// flood sends from each router to everyone.
type flood struct{}

// allPairs sends from the origin to everyone.
type allPairs struct{}

// zoneRelays sends to two relays of each zone, and they to their zone.
type zoneRelays struct{}

// randomFanout sends to k routers drawn at random.
type randomFanout struct{ k int }

// tree sends into each subtree of the id space to r routers, which are
// responsible for that subtree (replicated tree broadcast over Kademlia).
type tree struct{ r int }

func (flood) name() string          { return "flood" }
func (allPairs) name() string       { return "all pairs" }
func (zoneRelays) name() string     { return "two relays a zone" }
func (f randomFanout) name() string { return "random, fanout " + strconv.Itoa(f.k) }
func (t tree) name() string         { return "tree, replication " + strconv.Itoa(t.r) }

func newSpread(seed uint64, routers, zones int, loss float64) *spread {
	s := &spread{
		random: newSource(seed, ident.RouterID(strconv.Itoa(routers))),
		loss:   loss, zones: zones,
		hashes: make([]uint64, routers),
		knows:  make([]bool, routers),
		sent:   make([]int, routers),
		taken:  make([]int, routers),
	}
	for i := range s.hashes {
		s.hashes[i] = xxhash.Sum64String("router-" + strconv.Itoa(i))
	}
	return s
}

// push passes an item on from one router until no router has more to send.
func (s *spread) push(by strategy) {
	origin := s.random.below(len(s.knows))
	s.knows[origin] = true
	type holder struct{ router, depth int }
	front := []holder{{origin, 0}}
	for len(front) > 0 {
		var next []holder
		for _, h := range front {
			for _, p := range by.pass(s, h.router, h.depth) {
				if s.deliver(h.router, p.to) {
					next = append(next, holder{p.to, p.depth})
				}
			}
		}
		if len(next) > 0 {
			s.hops++
		}
		front = next
	}
}

// deliver sends one message; it is true if it arrives and is news.
func (s *spread) deliver(from, to int) bool {
	s.sent[from]++
	if s.random.share() < s.loss {
		return false
	}
	s.taken[to]++
	news := !s.knows[to]
	s.knows[to] = true
	return news
}

// repair lets each router exchange digests with one other, and what either
// lacks. It gives the number of rounds until all know the item.
func (s *spread) repair() int {
	rounds := 0
	for slices.Contains(s.knows, false) {
		rounds++
		before := slices.Clone(s.knows)
		for i := range s.knows {
			j := s.random.below(len(s.knows))
			if before[i] == before[j] || s.random.share() < s.loss {
				continue
			}
			// The heartbeat shows the difference; a second message mends it.
			if before[i] {
				s.deliver(i, j)
			} else {
				s.deliver(j, i)
			}
		}
	}
	return rounds
}

func (flood) pass(s *spread, router, _ int) []parcel {
	return allPairs{}.pass(s, router, 0)
}

func (allPairs) pass(s *spread, router, depth int) []parcel {
	if depth > 0 {
		return nil
	}
	var parcels []parcel
	for i := range s.knows {
		if i != router {
			parcels = append(parcels, parcel{i, 1})
		}
	}
	return parcels
}

func (zoneRelays) pass(s *spread, router, depth int) []parcel {
	var parcels []parcel
	for i := range s.knows {
		relay := i/s.zones < 2
		toRelay := depth == 0 && relay
		toZone := i%s.zones == router%s.zones && (depth == 0 || depth == 1)
		if i != router && (toRelay || toZone) {
			next := 2
			if toRelay && i%s.zones != router%s.zones {
				next = 1
			}
			parcels = append(parcels, parcel{i, next})
		}
	}
	return parcels
}

func (f randomFanout) pass(s *spread, router, _ int) []parcel {
	parcels := make([]parcel, 0, f.k)
	for _, to := range s.drawn(router, f.k) {
		parcels = append(parcels, parcel{to: to})
	}
	return parcels
}

func (t tree) pass(s *spread, router, depth int) []parcel {
	var parcels []parcel
	for prefix := depth; prefix < 64; prefix++ {
		bucket := s.bucket(router, prefix)
		for _, to := range s.others(t.r, bucket) {
			parcels = append(parcels, parcel{to, prefix + 1})
		}
		if s.last(router, prefix) {
			break
		}
	}
	return parcels
}

// bucket gives the routers whose id shares exactly prefix bits with a router's.
func (s *spread) bucket(router, prefix int) []int {
	members := []int{}
	for i, h := range s.hashes {
		if i != router && bits.LeadingZeros64(h^s.hashes[router]) == prefix {
			members = append(members, i)
		}
	}
	return members
}

// last tells whether no router shares more than prefix bits.
func (s *spread) last(router, prefix int) bool {
	for i, h := range s.hashes {
		if i != router && bits.LeadingZeros64(h^s.hashes[router]) > prefix {
			return false
		}
	}
	return true
}

// others draws up to count routers from a list.
func (s *spread) others(count int, from []int) []int {
	count = min(count, len(from))
	for i := range count {
		j := i + s.random.below(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:count]
}

// drawn draws up to count other routers.
func (s *spread) drawn(router, count int) []int {
	count = min(count, len(s.knows)-1)
	list := make([]int, 0, count)
	for len(list) < count {
		to := s.random.below(len(s.knows))
		if to != router && !slices.Contains(list, to) {
			list = append(list, to)
		}
	}
	return list
}
