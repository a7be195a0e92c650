package stand

import (
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// EngineSpec describes an engine stand-in. With neither WarmRuns nor WarmTime
// it is always warm.
type EngineSpec struct {
	Name     string
	Releases []ident.Release // loaded at the start; the first goes into load reports
	Quality  map[ident.Release]ident.Quality
	Pace     Pace
	Slots    int           // requests at once when warm
	Queue    int           // requests waiting beyond Slots before it refuses
	Cold     int           // requests at once in cold start; more make it fall over
	WarmRuns int           // whole answers since the start that make it warm, 0 for none
	WarmTime time.Duration // since the start that makes it warm, 0 for none
	Outage   time.Duration // for which it is away after a crash
	Blocks   int           // size of the prefix cache
	CacheLag time.Duration // of cache events
	CacheGap int           // each CacheGap-th cache event is lost, 0 for none
	LoadLag  time.Duration // of load reports
	LoadTime time.Duration // that loading a release takes
	Fenced   bool          // whether it refuses orders with an old fencing number
}

// DefaultEngine gives an engine of the usual size that serves the releases and
// is warm from the start.
func DefaultEngine(name string, releases ...ident.Release) EngineSpec {
	return EngineSpec{
		Name:     name,
		Releases: releases,
		Quality:  make(map[ident.Release]ident.Quality),
		Pace:     DefaultPace,
		Slots:    32,
		Queue:    128,
		Cold:     4,
		Outage:   2 * time.Second,
		Blocks:   4096,
		CacheLag: 200 * time.Millisecond,
		CacheGap: 50,
		LoadLag:  200 * time.Millisecond,
		LoadTime: 500 * time.Millisecond,
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
