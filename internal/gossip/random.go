package gossip

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// random is a pseudo-random generator that depends only on a seed and a router.
// It is SplitMix64.
type random struct{ state uint64 }

func newRandom(seed uint64, router ident.RouterID) *random {
	return &random{state: seed*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(string(router))}
}

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	x := r.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// intn returns a number from 0 to n-1.
func (r *random) intn(n int) int {
	return int(r.next() % uint64(n))
}

// uniform returns a number in [0, 1).
func (r *random) uniform() float64 {
	return float64(r.next()>>11) / math.Exp2(53)
}
