package gossip

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// source gives numbers that depend on a seed and a router alone.
type source struct{ state uint64 }

func newSource(seed uint64, router ident.RouterID) *source {
	return &source{state: seed*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(string(router))}
}

func (s *source) next() uint64 {
	s.state += 0x9e3779b97f4a7c15
	x := s.state
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// below gives a number from 0 to n-1.
func (s *source) below(n int) int {
	return int(s.next() % uint64(n))
}

// share gives a number in [0, 1).
func (s *source) share() float64 {
	return float64(s.next()>>11) / math.Exp2(53)
}
