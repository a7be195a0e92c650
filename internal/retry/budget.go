package retry

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	budgetBurst   = 10.0 // maximum number of saved extra attempts
	budgetMinRate = 0.2  // extra attempts per second that are allowed at any load
)

// Budget is a token bucket that limits retries, hedges and resumptions to a
// share of the first attempts, so that they do not multiply the load while many
// requests fail. It is safe for concurrent use.
type Budget struct {
	lock    sync.Mutex
	share   ident.Share
	burst   float64
	minRate float64
	tokens  float64
	last    time.Time
}

// NewBudget returns a budget of extra attempts as a share of the first attempts.
func NewBudget(share ident.Share) *Budget {
	return NewBudgetWithLimits(share, budgetBurst, budgetMinRate)
}

// NewBudgetWithLimits returns a budget that saves at most burst extra attempts
// and gains minRate extra attempts per second at any load.
func NewBudgetWithLimits(share ident.Share, burst, minRate float64) *Budget {
	return &Budget{share: share, burst: burst, minRate: minRate, tokens: burst}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.refill(now)
	b.tokens = math.Min(b.tokens+float64(b.share), b.burst)
}

// Allow reports whether one extra attempt is allowed, and counts it if so.
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
	elapsed := now.Sub(b.last).Seconds()
	b.tokens = math.Min(b.tokens+elapsed*b.minRate, b.burst)
	b.last = now
}
