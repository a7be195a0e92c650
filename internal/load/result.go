package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Hour)
	latencyDigits  = 3
)

// Result sums up a run.
type Result struct {
	Seed     uint64                 `json:"seed"`
	Seconds  float64                `json:"seconds"` // from the first intended send time to the last answer
	All      Summary                `json:"all"`
	Kinds    map[string]Summary     `json:"kinds"`
	Teams    map[ident.TeamID]Tally `json:"teams"`
	Releases map[string]int         `json:"releases"` // whole answers by model@version
}

// Summary sums up requests; latencies count whole answers only.
type Summary struct {
	Tally
	First   Latency `json:"first"`   // intended send time to first text
	Between Latency `json:"between"` // one text to the next
	Total   Latency `json:"total"`   // intended send time to end
}

// Tally counts requests by outcome.
type Tally struct {
	Arrived int          `json:"arrived"`
	Whole   int          `json:"whole"`
	Refused int          `json:"refused"`
	Failed  int          `json:"failed"`
	Broken  int          `json:"broken"`
	Dropped int          `json:"dropped"`
	Late    int          `json:"late"` // whole, but after the deadline
	Cost    ident.Micros `json:"cost"`
}

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// recorder gathers answers into histograms of bounded size.
type recorder struct {
	mutex    sync.Mutex
	start    time.Time
	last     time.Time
	all      *series
	kinds    map[string]*series
	teams    map[ident.TeamID]*Tally
	releases map[string]int
}

// series holds the answers of one sort.
type series struct {
	tally   Tally
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:    start,
		last:     start,
		all:      newSeries(),
		kinds:    make(map[string]*series),
		teams:    make(map[ident.TeamID]*Tally),
		releases: make(map[string]int),
	}
}

func newSeries() *series {
	return &series{first: newHistogram(), between: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func (r *recorder) add(a Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kind := r.kinds[a.Arrival.Kind.Name]
	if kind == nil {
		kind = newSeries()
		r.kinds[a.Arrival.Kind.Name] = kind
	}
	team := r.teams[a.Arrival.Team.ID]
	if team == nil {
		team = &Tally{}
		r.teams[a.Arrival.Team.ID] = team
	}
	intended := r.start.Add(a.Arrival.At)
	r.all.add(intended, a)
	kind.add(intended, a)
	team.add(intended, a)
	if a.Outcome == OutcomeWhole {
		r.releases[a.Release]++
	}
	if a.Ended.After(r.last) {
		r.last = a.Ended
	}
}

func (r *recorder) result(seed uint64) Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := Result{
		Seed:     seed,
		Seconds:  r.last.Sub(r.start).Seconds(),
		All:      r.all.summary(),
		Kinds:    make(map[string]Summary),
		Teams:    make(map[ident.TeamID]Tally),
		Releases: r.releases,
	}
	for name, s := range r.kinds {
		result.Kinds[name] = s.summary()
	}
	for id, t := range r.teams {
		result.Teams[id] = *t
	}
	return result
}

func (s *series) add(intended time.Time, a Answer) {
	s.tally.add(intended, a)
	if a.Outcome != OutcomeWhole {
		return
	}
	record(s.total, a.Ended.Sub(intended))
	for i, at := range a.Frames {
		if i == 0 {
			record(s.first, at.Sub(intended))
			continue
		}
		record(s.between, at.Sub(a.Frames[i-1]))
	}
}

func (s *series) summary() Summary {
	return Summary{
		Tally:   s.tally,
		First:   newLatency(s.first),
		Between: newLatency(s.between),
		Total:   newLatency(s.total),
	}
}

func (t *Tally) add(intended time.Time, a Answer) {
	t.Arrived++
	t.Cost += a.Cost
	switch a.Outcome {
	case OutcomeWhole:
		t.Whole++
		if a.Arrival.Deadline > 0 && a.Ended.Sub(intended) > a.Arrival.Deadline {
			t.Late++
		}
	case OutcomeRefused:
		t.Refused++
	case OutcomeFailed:
		t.Failed++
	case OutcomeBroken:
		t.Broken++
	case OutcomeDropped:
		t.Dropped++
	}
}

// record counts a latency; one beyond the histogram's range counts as its
// nearest end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	clamped := min(highestLatency, max(lowestLatency, int64(d)))
	if err := h.RecordValue(clamped); err != nil {
		panic(err) // within the range by the line above
	}
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean() / float64(time.Millisecond),
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P95:   milliseconds(h.ValueAtQuantile(95)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		Max:   milliseconds(h.Max()),
	}
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}
