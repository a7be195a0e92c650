package gossip

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// broadcast is the state of one simulated broadcast in a fleet. The model is
// deterministic and covers messages only, neither latency within a hop nor
// connections.
type broadcast struct {
	random   *random
	loss     float64
	zones    int
	hashes   []uint64 // of the routers' ids, used by tree
	informed []bool
	sent     []int // messages, by router
	received []int
	hops     int
}

// message is a message in flight. The meaning of depth depends on the strategy.
type message struct{ to, depth int }

// strategy is a method of forwarding an urgent message.
type strategy interface {
	name() string
	// forward returns the messages that a router sends when it is first informed.
	forward(b *broadcast, router, depth int) []message
}

// flood sends from every router to all others.
type flood struct{}

// allPairs sends from the origin to all others.
type allPairs struct{}

// zoneRelays sends to two relays in each zone, which forward to the routers of
// their zone.
type zoneRelays struct{}

// randomFanout sends to fanout random routers.
type randomFanout struct{ fanout int }

// tree sends to replication routers of each subtree of the id space, which are
// responsible for that subtree (replicated tree broadcast over Kademlia).
type tree struct{ replication int }

func (flood) name() string          { return "flood" }
func (allPairs) name() string       { return "all pairs" }
func (zoneRelays) name() string     { return "two relays a zone" }
func (f randomFanout) name() string { return "random, fanout " + strconv.Itoa(f.fanout) }
func (t tree) name() string         { return "tree, replication " + strconv.Itoa(t.replication) }

func newBroadcast(seed uint64, routers, zones int, loss float64) *broadcast {
	b := &broadcast{
		random: newRandom(seed, ident.RouterID(strconv.Itoa(routers))),
		loss:   loss, zones: zones,
		hashes:   make([]uint64, routers),
		informed: make([]bool, routers),
		sent:     make([]int, routers),
		received: make([]int, routers),
	}
	for i := range b.hashes {
		b.hashes[i] = xxhash.Sum64String("router-" + strconv.Itoa(i))
	}
	return b
}

// run forwards a message from a random origin until no router has anything left
// to send.
func (b *broadcast) run(method strategy) {
	origin := b.random.intn(len(b.informed))
	b.informed[origin] = true
	type sender struct{ router, depth int }
	frontier := []sender{{origin, 0}}
	for len(frontier) > 0 {
		var next []sender
		for _, from := range frontier {
			for _, p := range method.forward(b, from.router, from.depth) {
				if b.send(from.router, p.to) {
					next = append(next, sender{p.to, p.depth})
				}
			}
		}
		if len(next) > 0 {
			b.hops++
		}
		frontier = next
	}
}

// send sends one message, and reports whether it arrives and informs the
// receiver.
func (b *broadcast) send(from, to int) bool {
	b.sent[from]++
	if b.random.uniform() < b.loss {
		return false
	}
	b.received[to]++
	informs := !b.informed[to]
	b.informed[to] = true
	return informs
}

// antiEntropy lets each router exchange digests with a random other one, and the
// message if one of them lacks it. It returns the number of rounds until all
// routers are informed.
func (b *broadcast) antiEntropy() int {
	rounds := 0
	for slices.Contains(b.informed, false) {
		rounds++
		before := slices.Clone(b.informed)
		for i := range b.informed {
			j := b.random.intn(len(b.informed))
			if before[i] == before[j] || b.random.uniform() < b.loss {
				continue
			}
			// The digests show the difference; a second message resolves it.
			if before[i] {
				b.send(i, j)
			} else {
				b.send(j, i)
			}
		}
	}
	return rounds
}

func (flood) forward(b *broadcast, router, _ int) []message {
	return allPairs{}.forward(b, router, 0)
}

func (allPairs) forward(b *broadcast, router, depth int) []message {
	if depth > 0 {
		return nil
	}
	var messages []message
	for i := range b.informed {
		if i != router {
			messages = append(messages, message{i, 1})
		}
	}
	return messages
}

func (zoneRelays) forward(b *broadcast, router, depth int) []message {
	var messages []message
	for i := range b.informed {
		relay := i/b.zones < 2
		toRelay := depth == 0 && relay
		toZone := i%b.zones == router%b.zones && (depth == 0 || depth == 1)
		if i != router && (toRelay || toZone) {
			next := 2
			if toRelay && i%b.zones != router%b.zones {
				next = 1
			}
			messages = append(messages, message{i, next})
		}
	}
	return messages
}

func (f randomFanout) forward(b *broadcast, router, _ int) []message {
	messages := make([]message, 0, f.fanout)
	for _, to := range b.randomPeers(router, f.fanout) {
		messages = append(messages, message{to: to})
	}
	return messages
}

func (t tree) forward(b *broadcast, router, depth int) []message {
	var messages []message
	for prefix := depth; prefix < 64; prefix++ {
		bucket := b.bucket(router, prefix)
		for _, to := range b.sample(t.replication, bucket) {
			messages = append(messages, message{to, prefix + 1})
		}
		if b.isDeepestBucket(router, prefix) {
			break
		}
	}
	return messages
}

// bucket returns the routers whose hash shares exactly prefix leading bits with a
// router's.
func (b *broadcast) bucket(router, prefix int) []int {
	members := []int{}
	for i, h := range b.hashes {
		if i != router && bits.LeadingZeros64(h^b.hashes[router]) == prefix {
			members = append(members, i)
		}
	}
	return members
}

// isDeepestBucket reports whether no router shares more than prefix leading bits
// with a router.
func (b *broadcast) isDeepestBucket(router, prefix int) bool {
	for i, h := range b.hashes {
		if i != router && bits.LeadingZeros64(h^b.hashes[router]) > prefix {
			return false
		}
	}
	return true
}

// sample selects up to count random routers from a list, which it reorders.
func (b *broadcast) sample(count int, from []int) []int {
	count = min(count, len(from))
	for i := range count {
		j := i + b.random.intn(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:count]
}

// randomPeers returns up to count random routers other than the given one.
func (b *broadcast) randomPeers(router, count int) []int {
	count = min(count, len(b.informed)-1)
	list := make([]int, 0, count)
	for len(list) < count {
		to := b.random.intn(len(b.informed))
		if to != router && !slices.Contains(list, to) {
			list = append(list, to)
		}
	}
	return list
}
