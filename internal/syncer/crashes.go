package syncer

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldscale/marigoldscale/internal/poison"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// crashMemory is how long a crash counts against the requests that ran.
	crashMemory = 10 * time.Minute
	// entryLapse is how long the entry of an endpoint that has ended may remain while the
	// store and this router's data of it are current: the four seconds within which it is
	// gone (docs/OPERATIONS.md), and half as much.
	entryLapse = 6 * time.Second
)

// crashRecord holds what is known of endpoints that ended while requests ran, and which
// requests are not run again for it. The caller must hold Controller.lock.
type crashRecord struct {
	runs      *poison.RunTable
	parts     *poison.PartTable
	withdrawn *poison.WithdrawnRuns // of this router
	refused   poison.RefusedParts   // as of the latest change
	current   time.Time             // since when the endpoints' entries have been current, zero if they are not
	changed   chan struct{}         // closed when something may be refused that was not
}

func newCrashRecord() *crashRecord {
	return &crashRecord{
		runs: poison.NewRunTable(crashMemory), parts: poison.NewPartTable(crashMemory), withdrawn: poison.NewWithdrawnRuns(), changed: make(chan struct{}),
	}
}

// observe records the end of a run. It returns the runs that count as broken by it: the
// run itself, if it broke, and those that were withdrawn from the same endpoint before. It
// reports whether the end clears any request of a crash.
func (r *crashRecord) observe(now time.Time, end poison.RunEnd) (broken []poison.RunEnd, cleared bool) {
	switch {
	case end.Withdrawn:
		r.withdrawn.Add(now, end)
	case end.Broke:
		broken = append(broken, end)
		r.count(now, end)
	default:
		r.withdrawn.Answered(end)
		cleared = r.count(now, end)
	}
	return append(broken, r.settle(now, end.Incarnation)...), cleared
}

func (r *crashRecord) count(now time.Time, end poison.RunEnd) (cleared bool) {
	r.parts.Observe(now, end)
	return r.runs.Observe(now, end)
}

// settle counts the runs that were withdrawn from an endpoint against their requests if
// it has crashed, and returns them.
func (r *crashRecord) settle(now time.Time, i poison.Incarnation) []poison.RunEnd {
	at, crashed := r.runs.CrashTime(i)
	if !crashed {
		return nil
	}
	broken := r.withdrawn.TakeCrashed(now, i, at)
	for _, end := range broken {
		r.count(now, end)
	}
	return broken
}

// explained returns a function that reports whether a refused part explains a crash.
func (r *crashRecord) explained(now time.Time) func(poison.Incarnation) bool {
	return func(i poison.Incarnation) bool { return r.parts.Explains(now, i) }
}

// announce wakes those that wait for a change, and returns the parts that are refused
// since the last one and those that no longer are.
func (r *crashRecord) announce(now time.Time) (refused, freed []ident.Fingerprint) {
	close(r.changed)
	r.changed = make(chan struct{})
	parts := r.parts.Refused(now)
	for part := range parts {
		if !r.refused[part] {
			refused = append(refused, part)
		}
	}
	for part := range r.refused {
		if !parts[part] {
			freed = append(freed, part)
		}
	}
	r.refused = parts
	return refused, freed
}

// ObserveRun records how a run of a request ended.
func (c *Controller) ObserveRun(now time.Time, r poison.RunEnd) {
	c.lock.Lock()
	broken, cleared := c.crashes.observe(now, r)
	c.lock.Unlock()
	if cleared {
		c.log.Info("crashes cleared", zap.Uint64("fingerprint", uint64(r.Fingerprint)), zap.String("endpoint", string(r.Incarnation.Endpoint)),
			zap.String("boot", r.Incarnation.BootID), zap.Bool("complete", r.Complete))
	}
	c.reportBroken(now, broken)
}

// ObserveEnd records that an endpoint has ended, whatever it ran.
func (c *Controller) ObserveEnd(now time.Time, i poison.Incarnation) {
	c.lock.Lock()
	c.crashes.runs.RecordEnd(now, i)
	broken := c.crashes.settle(now, i)
	c.lock.Unlock()
	c.reportBroken(now, broken)
}

// reportBroken logs runs that broke, or that were withdrawn before their endpoint crashed,
// and tells requests in progress.
func (c *Controller) reportBroken(now time.Time, broken []poison.RunEnd) {
	for _, r := range broken {
		c.lock.Lock()
		count := c.crashes.runs.CrashCount(now, r.Fingerprint, c.crashes.explained(now))
		c.lock.Unlock()
		c.log.Info("run broke", zap.Uint64("fingerprint", uint64(r.Fingerprint)), zap.String("endpoint", string(r.Incarnation.Endpoint)),
			zap.String("boot", r.Incarnation.BootID), zap.Int("crashes", count), zap.Bool("began", !r.Began.IsZero()), zap.Strings("parts", r.Parts))
	}
	if len(broken) > 0 {
		c.announceCrashes(now)
	}
}

// announceCrashes tells requests in progress that crashes have become known, and logs
// which parts of prompts are refused for them.
func (c *Controller) announceCrashes(now time.Time) {
	c.lock.Lock()
	refused, freed := c.crashes.announce(now)
	c.lock.Unlock()
	for _, part := range refused {
		c.log.Warn("prompt part refused", zap.Uint64("fingerprint", uint64(part)))
	}
	for _, part := range freed {
		c.log.Info("prompt part not refused", zap.Uint64("fingerprint", uint64(part)))
	}
}

// recordEntries records which endpoints have not ended, as their entries would have lapsed
// since. It returns those that had counted as crashed by a request.
func (r *crashRecord) recordEntries(now time.Time, current bool, v *world.View) []poison.Incarnation {
	switch {
	case !current:
		r.current = time.Time{}
	case r.current.IsZero():
		r.current = now
	}
	if r.current.IsZero() || now.Sub(r.current) < entryLapse {
		return nil
	}
	announced := func(i poison.Incarnation) bool {
		millis, known := v.Started(i.Endpoint)
		return known && millis != 0 && i.BootID == strconv.FormatInt(millis, 10)
	}
	lived := now.Add(-entryLapse)
	r.parts.RecordEntries(lived, announced)
	return r.runs.RecordEntries(now, lived, announced)
}

// entriesKnownAt returns as of when this router knows the entries of endpoints. One that has
// started since may have none.
func (c *Controller) entriesKnownAt() time.Time {
	c.cacheLock.Lock()
	defer c.cacheLock.Unlock()
	return c.caches[c.codec.Prefixes().Endpoints].confirmed.at
}

// confirmCrashes confirms the crashes of endpoints that have ended, and clears those of
// endpoints that have not, by what is known of them.
func (c *Controller) confirmCrashes(now time.Time) {
	v := c.View()
	if !v.Ready {
		return // endpoints that are not known yet have not ended
	}
	known := c.entriesKnownAt()
	ended := func(i poison.Incarnation) bool {
		millis, announced := v.Started(i.Endpoint)
		return !announced || millis != 0 && i.BootID != strconv.FormatInt(millis, 10)
	}
	var broken []poison.RunEnd
	c.lock.Lock()
	for _, i := range c.crashes.withdrawn.Incarnations(known) {
		if ended(i) {
			c.crashes.runs.RecordEnd(now, i)
			broken = append(broken, c.crashes.settle(now, i)...)
		}
	}
	alive := c.crashes.recordEntries(now, v.Ready && !c.stale && !c.world.KeepsEntries(now), v)
	c.crashes.parts.Confirm(known, ended)
	before, after := c.crashes.refused, c.crashes.parts.Refused(now)
	c.lock.Unlock()
	for _, i := range alive {
		c.log.Info("crashes cleared", zap.String("endpoint", string(i.Endpoint)), zap.String("boot", i.BootID), zap.Bool("announced", true))
	}
	c.reportBroken(now, broken)
	if len(before) != len(after) {
		c.announceCrashes(now)
	}
}

// FatalCause returns why a request is not to be run again since endpoints have ended
// while they ran it, or poison.CauseNone. It names the part of the prompt, if one is the
// cause.
func (c *Controller) FatalCause(now time.Time, s poison.Subject) (cause poison.Cause, part string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if part, refused := c.crashes.parts.Refused(now).Find(s); refused {
		return poison.CausePart, part
	}
	if c.crashes.runs.Refused(now, s.Fingerprint, c.crashes.explained(now)) {
		return poison.CauseRequest, ""
	}
	return poison.CauseNone, ""
}

// CrashesChanged returns a channel that is closed when more requests may not be run
// again than before.
func (c *Controller) CrashesChanged() <-chan struct{} {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.crashes.changed
}

// crashCursor is the position up to which crashes were sent.
type crashCursor struct{ runs, parts poison.Revision }

// crashesSince returns the crashes known to this router that changed after cursor, or
// nil, and advances cursor.
func (c *Controller) crashesSince(now time.Time, cursor *crashCursor) *poison.Delta {
	c.lock.Lock()
	defer c.lock.Unlock()
	var d poison.Delta
	d, cursor.runs = c.crashes.runs.Delta(now, cursor.runs)
	d.Parts, cursor.parts = c.crashes.parts.Delta(now, cursor.parts)
	if d.IsEmpty() {
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
	c.crashes.runs.Merge(now, *d)
	c.crashes.parts.Merge(now, d.Parts)
	var broken []poison.RunEnd
	for _, crash := range d.Crashes {
		broken = append(broken, c.crashes.settle(now, crash.Incarnation)...)
	}
	c.lock.Unlock()
	c.reportBroken(now, broken)
	c.announceCrashes(now)
}
