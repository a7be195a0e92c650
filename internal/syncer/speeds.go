package syncer

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/feed"
	"github.com/marigoldscale/marigoldscale/internal/route"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// speedInterval is the pause between two reports of speeds on a link.
	speedInterval = time.Second
	// speedTTL is how long the speeds that a follower has reported are used: one that now
	// follows another router must not count twice for long.
	speedTTL = 3 * speedInterval
)

// speedAggregator merges the speeds of models that all routers have measured. They take
// the way of the loads: up to the root, and from there to all.
type speedAggregator struct {
	lock      sync.Mutex
	local     func() route.ModelSpeeds
	apply     func(route.ModelSpeeds)
	followers map[ident.RouterID]speedReport
	total     route.ModelSpeeds // as the parent told
}

type speedReport struct {
	speeds   route.ModelSpeeds
	received time.Time
}

func newSpeedAggregator() *speedAggregator {
	return &speedAggregator{
		local:     func() route.ModelSpeeds { return nil },
		apply:     func(route.ModelSpeeds) {},
		followers: map[ident.RouterID]speedReport{},
	}
}

// setFollowerSpeeds records what a follower has reported for its subtree.
func (s *speedAggregator) setFollowerSpeeds(now time.Time, from ident.RouterID, speeds route.ModelSpeeds) {
	if from == "" || len(speeds) == 0 {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.followers[from] = speedReport{speeds: speeds, received: now}
}

// setTotal records and applies the speeds of all routers.
func (s *speedAggregator) setTotal(speeds route.ModelSpeeds) {
	if len(speeds) == 0 {
		return
	}
	s.lock.Lock()
	s.total = speeds
	apply := s.apply
	s.lock.Unlock()
	apply(speeds)
}

// getTotal returns the speeds of all routers, as the parent told.
func (s *speedAggregator) getTotal() route.ModelSpeeds {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.total
}

// subtree returns the speeds that this router and its followers have measured.
func (s *speedAggregator) subtree(now time.Time) route.ModelSpeeds {
	s.lock.Lock()
	local := s.local
	reports := make([]route.ModelSpeeds, 0, len(s.followers)+1)
	for from, r := range s.followers {
		if now.Sub(r.received) > speedTTL {
			delete(s.followers, from)
			continue
		}
		reports = append(reports, r.speeds)
	}
	s.lock.Unlock()
	return route.MergeSpeeds(append(reports, local()))
}

// SetSpeedHooks sets the function that returns the speeds that this router has measured,
// and the one called with those of all routers.
func (c *Controller) SetSpeedHooks(local func() route.ModelSpeeds, apply func(route.ModelSpeeds)) {
	c.speeds.lock.Lock()
	defer c.speeds.lock.Unlock()
	c.speeds.local, c.speeds.apply = local, apply
}

// speedClock tells when speeds are to be sent again on a link.
type speedClock struct{ sent time.Time }

// due reports whether speedInterval has passed since it last did.
func (s *speedClock) due(now time.Time) bool {
	if now.Sub(s.sent) < speedInterval {
		return false
	}
	s.sent = now
	return true
}

// speedsToFollowers returns the speeds of all routers in wire form if they are due.
func (c *Controller) speedsToFollowers(now time.Time, clock *speedClock) map[ident.ModelID][]float64 {
	if !clock.due(now) {
		return nil
	}
	if c.isRoot.Load() || c.loads.inCycle(now) {
		c.speeds.setTotal(c.speeds.subtree(now))
	}
	return encodeSpeeds(c.speeds.getTotal())
}

// encodeSpeeds returns the wire form of speeds: for each model the seconds and samples of
// the base, token and generation times.
func encodeSpeeds(speeds route.ModelSpeeds) map[ident.ModelID][]float64 {
	if len(speeds) == 0 {
		return nil
	}
	out := make(map[ident.ModelID][]float64, len(speeds))
	for model, s := range speeds {
		out[model] = []float64{
			roundTime(s.Base.Seconds), s.Base.Samples, roundTime(s.Token.Seconds), s.Token.Samples,
			roundTime(s.Generation.Seconds), s.Generation.Samples,
		}
	}
	return out
}

// decodeSpeeds parses the output of encodeSpeeds. It ignores invalid entries.
func decodeSpeeds(load *feed.Load) route.ModelSpeeds {
	speeds := make(route.ModelSpeeds, len(load.Speeds))
	for model, n := range load.Speeds {
		if len(n) < 6 {
			continue
		}
		speeds[model] = route.ModelSpeed{
			Base: speedOf(n[0], n[1]), Token: speedOf(n[2], n[3]), Generation: speedOf(n[4], n[5]),
		}
	}
	return speeds
}

func speedOf(seconds, samples float64) route.Speed {
	if !(seconds >= 0 && samples > 0) {
		return route.Speed{}
	}
	return route.Speed{Seconds: seconds, Samples: samples}
}

// roundTime drops digits beyond a tenth of a microsecond, which would only take room in
// the frame.
func roundTime(seconds float64) float64 { return math.Round(seconds*1e7) / 1e7 }
