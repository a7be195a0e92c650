package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	lowestLatency            = int64(time.Microsecond)
	highestLatency           = int64(time.Hour)
	latencySignificantDigits = 3
)

// Result summarizes a run.
type Result struct {
	Seed     uint64                 `json:"seed"`
	Seconds  float64                `json:"seconds"` // from the start of the run to the last response
	All      Summary                `json:"all"`
	Kinds    map[string]Summary     `json:"kinds"`
	Teams    map[ident.TeamID]Tally `json:"teams"`
	Releases map[string]int         `json:"releases"` // complete responses by model@version
}

// Summary summarizes requests; latencies include only complete responses.
type Summary struct {
	Tally
	FirstChunk Latency `json:"first"`   // intended send time to the first chunk with text
	InterChunk Latency `json:"between"` // one chunk with text to the next
	Total      Latency `json:"total"`   // intended send time to the end of the response
}

// Tally counts requests by outcome.
type Tally struct {
	Arrived     int          `json:"arrived"`
	Completed   int          `json:"whole"`
	Refused     int          `json:"refused"`
	Failed      int          `json:"failed"`
	Interrupted int          `json:"broken"`
	Dropped     int          `json:"dropped"`
	Late        int          `json:"late"` // complete, but after the deadline
	Cost        ident.Micros `json:"cost"`
}

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// recorder aggregates responses in histograms of bounded size.
type recorder struct {
	mutex     sync.Mutex
	start     time.Time
	lastEnded time.Time
	all       *series
	kinds     map[string]*series
	teams     map[ident.TeamID]*Tally
	releases  map[string]int
}

// series aggregates the responses to one kind of request.
type series struct {
	tally      Tally
	firstChunk *hdrhistogram.Histogram
	interChunk *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:     start,
		lastEnded: start,
		all:       newSeries(),
		kinds:     make(map[string]*series),
		teams:     make(map[ident.TeamID]*Tally),
		releases:  make(map[string]int),
	}
}

func newSeries() *series {
	return &series{firstChunk: newHistogram(), interChunk: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencySignificantDigits)
}

func (r *recorder) add(response Response) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kind := r.kinds[response.Arrival.Kind.Name]
	if kind == nil {
		kind = newSeries()
		r.kinds[response.Arrival.Kind.Name] = kind
	}
	team := r.teams[response.Arrival.Team.ID]
	if team == nil {
		team = &Tally{}
		r.teams[response.Arrival.Team.ID] = team
	}
	intended := r.start.Add(response.Arrival.Offset)
	r.all.add(intended, response)
	kind.add(intended, response)
	team.add(intended, response)
	if response.Outcome == OutcomeComplete {
		r.releases[response.Release]++
	}
	if response.EndedAt.After(r.lastEnded) {
		r.lastEnded = response.EndedAt
	}
}

func (r *recorder) result(seed uint64) Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := Result{
		Seed:     seed,
		Seconds:  r.lastEnded.Sub(r.start).Seconds(),
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

func (s *series) add(intended time.Time, response Response) {
	s.tally.add(intended, response)
	if response.Outcome != OutcomeComplete {
		return
	}
	recordLatency(s.total, response.EndedAt.Sub(intended))
	for i, at := range response.ChunkTimes {
		if i == 0 {
			recordLatency(s.firstChunk, at.Sub(intended))
			continue
		}
		recordLatency(s.interChunk, at.Sub(response.ChunkTimes[i-1]))
	}
}

func (s *series) summary() Summary {
	return Summary{
		Tally:      s.tally,
		FirstChunk: newLatency(s.firstChunk),
		InterChunk: newLatency(s.interChunk),
		Total:      newLatency(s.total),
	}
}

func (t *Tally) add(intended time.Time, response Response) {
	t.Arrived++
	t.Cost += response.Cost
	switch response.Outcome {
	case OutcomeComplete:
		t.Completed++
		if response.Arrival.Deadline > 0 && response.EndedAt.Sub(intended) > response.Arrival.Deadline {
			t.Late++
		}
	case OutcomeRefused:
		t.Refused++
	case OutcomeFailed:
		t.Failed++
	case OutcomeInterrupted:
		t.Interrupted++
	case OutcomeDropped:
		t.Dropped++
	}
}

// recordLatency records a latency, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	clamped := min(highestLatency, max(lowestLatency, int64(d)))
	if err := h.RecordValue(clamped); err != nil {
		panic(err) // cannot happen: clamped is within the range
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
