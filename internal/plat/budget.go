package plat

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// reserve is the share of the bucket that a class must leave for the classes
// before it.
var reserve = [classCount]float64{ClassClaim: 0, ClassConfig: 0.1, ClassBill: 0.25, ClassStatus: 0.5}

// Rate is a call rate with its burst.
type Rate struct {
	Calls float64 // calls a second
	Burst float64 // calls
}

// Budget shares this router's part of the platform's call rates between the
// classes of calls. It is safe for concurrent use.
type Budget struct {
	lock   sync.Mutex
	reads  Bucket
	writes Bucket
	now    func() time.Time
}

// NewBudget makes a full budget out of a rate of reads and one of writes.
func NewBudget(reads, writes Rate, now func() time.Time) *Budget {
	return &Budget{reads: NewBucket(now(), reads), writes: NewBucket(now(), writes), now: now}
}

// Resize changes the rates, when the fleet grows or shrinks.
func (b *Budget) Resize(reads, writes Rate) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.reads.Resize(b.now(), reads)
	b.writes.Resize(b.now(), writes)
}

// Read waits for a read call. It fails with ErrUnavailable at once if the
// call can't be had before ctx ends.
func (b *Budget) Read(ctx context.Context, class Class) error {
	return b.acquire(ctx, &b.reads, class)
}

// Write waits for a write call, like Read.
func (b *Budget) Write(ctx context.Context, class Class) error {
	return b.acquire(ctx, &b.writes, class)
}

func (b *Budget) acquire(ctx context.Context, bucket *Bucket, class Class) error {
	for {
		b.lock.Lock()
		now := b.now()
		wait := bucket.Take(now, class)
		b.lock.Unlock()
		if wait == 0 {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
			return fmt.Errorf("call budget of %s is used up for %v: %w", class, wait, ErrUnavailable)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("wait for the call budget of %s: %w", class, ErrUnavailable)
		case <-timer.C:
		}
	}
}

// Bucket is a token bucket whose last tokens are kept for urgent classes.
type Bucket struct {
	rate   Rate
	tokens float64
	filled time.Time
}

// NewBucket makes a full bucket.
func NewBucket(now time.Time, rate Rate) Bucket {
	return Bucket{rate: rate, tokens: rate.Burst, filled: now}
}

// Take draws one call for class, or draws nothing and gives the time until
// one may be had.
func (b *Bucket) Take(now time.Time, class Class) time.Duration {
	b.fill(now)
	missing := reserve[class]*b.rate.Burst + 1 - b.tokens
	if missing <= 0 {
		b.tokens--
		return 0
	}
	return time.Duration(missing/b.rate.Calls*float64(time.Second)) + 1
}

// Resize changes the rate and keeps the tokens at hand, up to the new burst.
func (b *Bucket) Resize(now time.Time, rate Rate) {
	b.fill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate.Burst)
}

func (b *Bucket) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if passed <= 0 {
		return
	}
	b.tokens = min(b.rate.Burst, b.tokens+passed*b.rate.Calls)
	b.filled = now
}
