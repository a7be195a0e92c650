package shard

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// MinRingSize is the smallest ring, in batches: one may be written while a
// checkpoint covers the one before it.
const MinRingSize = 2

// Settings are the sizes and times of the journal. All routers of a fleet must
// have the same Shards and RingSize, which are fixed once the journal exists.
type Settings struct {
	Shards           int           // number of shards
	BatchInterval    time.Duration // minimum time between two batches of a shard
	RetryDelay       time.Duration // between attempts while the platform is unavailable
	CallTimeout      time.Duration // time limit of one platform call
	MaxBatchRecords  int           // records per batch, at most
	MaxBatchBytes    int           // encoded bytes per batch, at most
	MaxQueued        int           // queued records per shard, at most; claims may use half of it
	RingSize         int           // batches kept per shard
	ClaimRetention   time.Duration // for claims, outcomes and releases
	BindingRetention time.Duration // for session bindings
}

// Defaults returns settings that limit the batches of all shards to 200 writes
// per second, independent of the number of routers and requests.
func Defaults() Settings {
	return Settings{
		Shards:           16,
		BatchInterval:    80 * time.Millisecond,
		RetryDelay:       250 * time.Millisecond,
		CallTimeout:      2 * time.Second,
		MaxBatchRecords:  512,
		MaxBatchBytes:    256 << 10,
		MaxQueued:        8192,
		RingSize:         64,
		ClaimRetention:   24 * time.Hour,
		BindingRetention: 7 * 24 * time.Hour,
	}
}

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	switch {
	case s.Shards < 1 || s.Shards > 9999:
		return fmt.Errorf("journal has %d shards, must be 1 to 9999", s.Shards)
	case s.RingSize < MinRingSize:
		return fmt.Errorf("journal ring is %d batches, must be at least %d", s.RingSize, MinRingSize)
	case s.MaxBatchRecords < 1 || s.MaxQueued < 2:
		return fmt.Errorf("journal batch of %d records and queue of %d records must be at least 1 and 2", s.MaxBatchRecords, s.MaxQueued)
	case s.MaxBatchBytes < 2*MaxBodyBytes || s.MaxBatchBytes > plat.MaxValueBytes/2:
		return fmt.Errorf("journal batch is %d bytes, must be %d to %d", s.MaxBatchBytes, 2*MaxBodyBytes, plat.MaxValueBytes/2)
	case s.ClaimRetention <= 0 || s.BindingRetention <= 0:
		return fmt.Errorf("journal keeps claims for %v and session bindings for %v, both must be positive", s.ClaimRetention, s.BindingRetention)
	default:
		return nil
	}
}
