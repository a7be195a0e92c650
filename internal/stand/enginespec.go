package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// EngineSpec describes an engine stand-in. With neither WarmRuns nor WarmTime
// it is always warm.
type EngineSpec struct {
	Name              string
	Releases          []ident.Release // loaded at the start; the first goes into load reports
	Quality           map[ident.Release]ident.Quality
	Timing            Timing
	Slots             int           // requests at once when warm
	MaxQueued         int           // requests waiting beyond Slots before it refuses
	ColdSlots         int           // requests at once in cold start; more make it fall over
	WarmRuns          int           // whole answers since the start that make it warm, 0 for none
	WarmTime          time.Duration // since the start that makes it warm, 0 for none
	Outage            time.Duration // for which it is away after a crash
	CacheBlocks       int           // size of the prefix cache
	CacheEventLag     time.Duration // of cache events
	CacheLossInterval int           // each CacheGap-th cache event is lost, 0 for none
	LoadReportLag     time.Duration // of load reports
	ReleaseLoadTime   time.Duration // that loading a release takes
	ChecksFence       bool          // whether it refuses orders with an old fencing number
}

// DefaultEngine gives an engine of the usual size that serves the releases and
// is warm from the start.
func DefaultEngineSpec(name string, releases ...ident.Release) EngineSpec {
	return EngineSpec{
		Name:              name,
		Releases:          releases,
		Quality:           make(map[ident.Release]ident.Quality),
		Timing:            DefaultTiming,
		Slots:             32,
		MaxQueued:         128,
		ColdSlots:         4,
		Outage:            2 * time.Second,
		CacheBlocks:       4096,
		CacheEventLag:     200 * time.Millisecond,
		CacheLossInterval: 50,
		LoadReportLag:     200 * time.Millisecond,
		ReleaseLoadTime:   500 * time.Millisecond,
	}
}

// defaultQuality is the quality of releases that EngineSpec.Quality omits.
const defaultQuality ident.Quality = 0.9

func (s EngineSpec) quality(release ident.Release) ident.Quality {
	if q, ok := s.Quality[release]; ok {
		return q
	}
	return defaultQuality
}
