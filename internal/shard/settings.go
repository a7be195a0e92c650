package shard

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// MinRing is the smallest ring of batches: one may be written while the one
// before it is folded into a checkpoint.
const MinRingSize = 2

// Settings are the sizes and times of the journal. All routers of a fleet must
// agree on Shards and Ring, which are fixed once the journal exists.
type Settings struct {
	Shards           int           // shards of the journal
	BatchInterval    time.Duration // between two batches of a shard
	RetryDelay       time.Duration // between tries while the platform is away
	CallTimeout      time.Duration // of one call to the platform
	MaxBatchRecords  int           // records in a batch, at most
	MaxBatchBytes    int           // encoded bytes of a batch, at most
	MaxQueued        int           // records that wait per shard, at most; claims get half
	RingSize         int           // batches kept per shard
	ClaimRetention   time.Duration // how long claims and outcomes are kept
	BindingRetention time.Duration // how long bindings are kept
}

// Defaults gives settings under which the batches of all shards take at most
// 200 writes a second, whatever the number of routers and requests.
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

// Check fails if the settings can't work.
func (s Settings) Check() error {
	switch {
	case s.Shards < 1 || s.Shards > 9999:
		return fmt.Errorf("journal has %d shards, want 1 to 9999", s.Shards)
	case s.RingSize < MinRingSize:
		return fmt.Errorf("journal ring is %d batches, want at least %d", s.RingSize, MinRingSize)
	case s.MaxBatchRecords < 1 || s.MaxQueued < 2:
		return fmt.Errorf("journal batch of %d and queue of %d records are too small", s.MaxBatchRecords, s.MaxQueued)
	case s.MaxBatchBytes < 2*MaxBodyBytes || s.MaxBatchBytes > plat.MaxValue/2:
		return fmt.Errorf("journal batch is %d bytes, want %d to %d", s.MaxBatchBytes, 2*MaxBodyBytes, plat.MaxValue/2)
	case s.ClaimRetention <= 0 || s.BindingRetention <= 0:
		return fmt.Errorf("journal keeps claims for %v and sessions for %v, want more", s.ClaimRetention, s.BindingRetention)
	default:
		return nil
	}
}
