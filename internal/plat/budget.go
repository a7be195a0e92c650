package plat

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// reservedShare is, by class, the fraction of the burst that is reserved for
// more urgent classes.
var reservedShare = [classCount]float64{ClassClaim: 0, ClassConfig: 0.1, ClassBill: 0.25, ClassStatus: 0.5}

// Rate configures a token bucket.
type Rate struct {
	PerSecond float64 // calls added per second
	Burst     float64 // capacity in calls
}

// Budget limits this router's read and write rates at the platform and reserves
// capacity for urgent call classes. It is safe for concurrent use.
type Budget struct {
	lock   sync.Mutex
	reads  TokenBucket
	writes TokenBucket
	now    func() time.Time
}

// NewBudget returns a budget with full buckets for reads and writes.
func NewBudget(reads, writes Rate, now func() time.Time) *Budget {
	return &Budget{reads: NewTokenBucket(now(), reads), writes: NewTokenBucket(now(), writes), now: now}
}

// SetRates replaces the read and write rates. It is called when the number of
// routers changes.
func (b *Budget) SetRates(reads, writes Rate) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.reads.SetRate(b.now(), reads)
	b.writes.SetRate(b.now(), writes)
}

// AcquireRead waits until a read is within the rate. It returns ErrUnavailable
// at once if that would be later than the deadline of ctx.
func (b *Budget) AcquireRead(ctx context.Context, class Class) error {
	return b.acquire(ctx, &b.reads, class)
}

// AcquireWrite waits until a write is within the rate, like AcquireRead.
func (b *Budget) AcquireWrite(ctx context.Context, class Class) error {
	return b.acquire(ctx, &b.writes, class)
}

func (b *Budget) acquire(ctx context.Context, bucket *TokenBucket, class Class) error {
	for {
		b.lock.Lock()
		now := b.now()
		wait := bucket.Take(now, class)
		b.lock.Unlock()
		if wait == 0 {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
			return fmt.Errorf("call budget of class %s exhausted for %v: %w", class, wait, ErrUnavailable)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("wait for call budget of class %s: %w", class, ErrUnavailable)
		case <-timer.C:
		}
	}
}

// TokenBucket is a token bucket that reserves its last tokens for urgent
// classes.
type TokenBucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(now time.Time, rate Rate) TokenBucket {
	return TokenBucket{rate: rate, tokens: rate.Burst, refilledAt: now}
}

// Take removes one token for class and returns 0, or removes nothing and
// returns the time until a token is available to class.
func (b *TokenBucket) Take(now time.Time, class Class) time.Duration {
	b.refill(now)
	missing := reservedShare[class]*b.rate.Burst + 1 - b.tokens
	if missing <= 0 {
		b.tokens--
		return 0
	}
	return time.Duration(missing/b.rate.PerSecond*float64(time.Second)) + 1
}

// SetRate replaces the rate and keeps the available tokens, up to the new
// burst.
func (b *TokenBucket) SetRate(now time.Time, rate Rate) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate.Burst)
}

func (b *TokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.rate.Burst, b.tokens+elapsed*b.rate.PerSecond)
	b.refilledAt = now
}
