package retry

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	budgetBurst = 10.0 // extra attempts saved up at most, plus one second's share
	budgetFloor = 0.2  // extra attempts a second that are allowed at any load
)

// Budget bounds retries, hedges and resumptions to a share of the first
// attempts, so that they cannot multiply the load when much fails at once. It
// is safe for use by many goroutines.
type Budget struct {
	lock   sync.Mutex
	share  ident.Share
	burst  float64
	floor  float64
	tokens float64
	last   time.Time
}

// NewBudget gives a budget of extra attempts as a share of first attempts.
func NewBudget(share ident.Share) *Budget {
	return NewBudgetWithLimits(share, budgetBurst, budgetFloor)
}

// NewLimited gives a budget that saves up at most burst extra attempts, and
// earns floor extra attempts a second at any load.
func NewBudgetWithLimits(share ident.Share, burst, floor float64) *Budget {
	return &Budget{share: share, burst: burst, floor: floor, tokens: burst}
}

// Earn records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.refill(now)
	b.tokens = math.Min(b.tokens+float64(b.share), b.burst)
}

// Take asks for one extra attempt, and tells whether it is allowed.
func (b *Budget) Allow(now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() || now.Before(b.last) {
		b.last = now
		return
	}
	passed := now.Sub(b.last).Seconds()
	b.tokens = math.Min(b.tokens+passed*b.floor, b.burst)
	b.last = now
}
