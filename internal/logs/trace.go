package logs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// contextBefore and contextAfter extend the time of a request to the period
	// whose router events are shown.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
)

// Trace collects the log lines about one request and the concurrent events of the
// routers that handled it.
type Trace struct {
	id            string
	requestEvents []Line
	routerEvents  []Line
}

// NewTrace returns an empty trace of the request with an id.
func NewTrace(id string) *Trace { return &Trace{id: id} }

// Add adds a log line of any router.
func (t *Trace) Add(l Line) {
	switch l.Request {
	case t.id:
		t.requestEvents = append(t.requestEvents, l)
	case "":
		t.routerEvents = append(t.routerEvents, l)
	}
}

// RequestEvents returns the lines about the request, in order of time.
func (t *Trace) RequestEvents() []Line {
	sortByTime(t.requestEvents)
	return t.requestEvents
}

// RouterEvents returns the state changes logged by the request's routers from
// shortly before to shortly after the request, in order of time: those of the
// endpoints that it was sent to and those that concern all requests. It includes
// the last configuration change before that period for each router.
func (t *Trace) RouterEvents() []Line {
	lines := t.RequestEvents()
	if len(lines) == 0 {
		return nil
	}
	from, to := lines[0].Time.Add(-contextBefore), lines[len(lines)-1].Time.Add(contextAfter)
	routers, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		routers[l.Router] = true
		if e := l.Field("endpoint"); e != "" {
			endpoints[e] = true
		}
	}
	sortByTime(t.routerEvents)
	var out []Line
	config := map[string]Line{}
	for _, l := range t.routerEvents {
		if !routers[l.Router] {
			continue
		}
		if l.Event == "configuration in force" && l.Time.Before(from) {
			config[l.Router] = l
		}
		if l.Time.Before(from) || l.Time.After(to) || isEndpointEvent(l) && !endpoints[l.Field("name")] {
			continue
		}
		out = append(out, l)
	}
	for _, l := range config {
		out = append(out, l)
	}
	sortByTime(out)
	return out
}

// isEndpointEvent reports whether a line is about a single endpoint.
func isEndpointEvent(l Line) bool {
	return len(l.Event) > 9 && l.Event[:9] == "endpoint "
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause is a group of requests that failed in the same way.
type Cause struct {
	Event  string `json:"event"` // event of the line that ended them
	Status string `json:"status,omitempty"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	Sample string `json:"sample"` // id of one of the requests
}

// Summary counts how requests ended, and why.
type Summary struct {
	Lines    int
	Answered int
	causes   map[Cause]*Cause
}

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{causes: map[Cause]*Cause{}} }

// Add adds a log line.
func (s *Summary) Add(l Line) {
	s.Lines++
	switch l.Event {
	case "answered":
		s.Answered++
	case "refused", "broken off":
		key := Cause{Event: l.Event, Status: l.Field("status"), Reason: l.Field("reason")}
		c := s.causes[key]
		if c == nil {
			c = &Cause{Event: key.Event, Status: key.Status, Reason: key.Reason, Sample: l.Request}
			s.causes[key] = c
		}
		c.Count++
	}
}

// Causes returns the causes of failed requests, the most frequent first.
func (s *Summary) Causes() []Cause {
	var list []Cause
	for _, c := range s.causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Event, b.Event))
	})
	return list
}
