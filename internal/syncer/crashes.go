package syncer

import (
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// crashMemory is how long a crash counts against the requests that ran.
const crashMemory = 10 * time.Minute

// ObserveRun records how a run of a request ended.
func (c *Controller) ObserveRun(now time.Time, r poison.RunEnd) {
	c.lock.Lock()
	c.runs.Observe(now, r)
	crashes := c.runs.CrashCount(now, r.Fingerprint)
	c.lock.Unlock()
	if r.Broke {
		c.log.Info("run broke", zap.Uint64("fingerprint", uint64(r.Fingerprint)), zap.String("endpoint", string(r.Incarnation.Endpoint)),
			zap.String("boot", r.Incarnation.BootID), zap.Int("crashes", crashes), zap.Bool("began", !r.Began.IsZero()), zap.Strings("parts", r.Parts))
	}
}

// IsFatal reports whether endpoints have ended while they ran a request, so that it
// is not to be run again.
func (c *Controller) IsFatal(now time.Time, f ident.Fingerprint) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.runs.Refused(now, f)
}

// crashesSince returns the crashes known to this router that changed after cursor,
// or nil, and advances cursor.
func (c *Controller) crashesSince(now time.Time, cursor *poison.Revision) *poison.Delta {
	c.lock.Lock()
	defer c.lock.Unlock()
	d, next := c.runs.Delta(now, *cursor)
	*cursor = next
	if len(d.Crashes) == 0 {
		return nil
	}
	return &d
}

// mergeCrashes merges crashes known to another router.
func (c *Controller) mergeCrashes(now time.Time, d *poison.Delta) {
	if d == nil {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.runs.Merge(now, *d)
}
