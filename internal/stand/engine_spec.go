package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// EngineSpec configures an engine. With neither WarmRuns nor WarmTime it is always
// warm.
type EngineSpec struct {
	Name              string
	Releases          []ident.Release // loaded at the start; load reports have the first
	Quality           map[ident.Release]ident.Quality
	Timing            Timing
	Slots             int           // concurrent requests when warm
	MaxQueued         int           // waiting requests beyond Slots; more are refused
	ColdSlots         int           // concurrent requests in cold start; one more crashes it
	WarmRuns          int           // complete answers that end a cold start; 0 for no such condition
	WarmTime          time.Duration // duration of a cold start; 0 for no such condition
	Outage            time.Duration // time for which it is unavailable after a crash
	CacheBlocks       int           // size of the prefix cache in blocks
	CacheEventLag     time.Duration // delay of cache events
	CacheLossInterval int           // one cache event in this many is lost; 0 for none
	LoadReportLag     time.Duration // age of load reports
	ReleaseLoadTime   time.Duration // time to load a release
	ChecksFence       bool          // whether it rejects orders with an outdated fencing token
}

// DefaultEngineSpec returns the configuration of an engine of typical size that
// serves the releases and is warm from the start.
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

// defaultQuality is the quality of releases without an entry in EngineSpec.Quality.
const defaultQuality ident.Quality = 0.9

func (s EngineSpec) quality(release ident.Release) ident.Quality {
	if q, ok := s.Quality[release]; ok {
		return q
	}
	return defaultQuality
}
