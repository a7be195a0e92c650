package shard

import (
	"fmt"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// MinRing is the smallest ring of batches: one may be written while the one
// before it is folded into a checkpoint.
const MinRing = 2

// Settings are the sizes and times of the journal. All routers of a fleet must
// agree on Shards and Ring, which are fixed once the journal exists.
type Settings struct {
	Shards   int           // shards of the journal
	Interval time.Duration // between two batches of a shard
	Retry    time.Duration // between tries while the platform is away
	Timeout  time.Duration // of one call to the platform
	Batch    int           // records in a batch, at most
	Bytes    int           // encoded bytes of a batch, at most
	Queue    int           // records that wait per shard, at most; claims get half
	Ring     int           // batches kept per shard
	Claims   time.Duration // how long claims and outcomes are kept
	Sessions time.Duration // how long bindings are kept
}

// Defaults gives settings under which the batches of all shards take at most
// 200 writes a second, whatever the number of routers and requests.
func Defaults() Settings {
	return Settings{
		Shards:   16,
		Interval: 80 * time.Millisecond,
		Retry:    250 * time.Millisecond,
		Timeout:  2 * time.Second,
		Batch:    512,
		Bytes:    256 << 10,
		Queue:    8192,
		Ring:     64,
		Claims:   24 * time.Hour,
		Sessions: 7 * 24 * time.Hour,
	}
}

// Check fails if the settings can't work.
func (s Settings) Check() error {
	switch {
	case s.Shards < 1 || s.Shards > 9999:
		return fmt.Errorf("journal has %d shards, want 1 to 9999", s.Shards)
	case s.Ring < MinRing:
		return fmt.Errorf("journal ring is %d batches, want at least %d", s.Ring, MinRing)
	case s.Batch < 1 || s.Queue < 2:
		return fmt.Errorf("journal batch of %d and queue of %d records are too small", s.Batch, s.Queue)
	case s.Bytes < 2*MaxBody || s.Bytes > plat.MaxValueBytes/2:
		return fmt.Errorf("journal batch is %d bytes, want %d to %d", s.Bytes, 2*MaxBody, plat.MaxValueBytes/2)
	case s.Claims <= 0 || s.Sessions <= 0:
		return fmt.Errorf("journal keeps claims for %v and sessions for %v, want more", s.Claims, s.Sessions)
	default:
		return nil
	}
}
