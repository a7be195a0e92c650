package logs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// beliefBefore and beliefAfter bound the time around a request in which what
	// its router believed is shown.
	beliefBefore = 10 * time.Second
	beliefAfter  = 5 * time.Second
)

// Trace collects what logs say of one request and of what its router believed
// at that time.
type Trace struct {
	id      string
	course  []Line
	beliefs []Line
}

// NewTrace gives a Trace of a request that has read nothing.
func NewTrace(id string) *Trace { return &Trace{id: id} }

// Add takes in a line of any router.
func (t *Trace) Add(l Line) {
	switch l.Request {
	case t.id:
		t.course = append(t.course, l)
	case "":
		t.beliefs = append(t.beliefs, l)
	}
}

// Course gives the lines on the request, in order of time.
func (t *Trace) Course() []Line {
	byTime(t.course)
	return t.course
}

// Beliefs gives the changes of what the request's routers believed shortly
// before and after, of the endpoints that it was sent to and of what concerns
// all requests, with the configuration that was last taken before.
func (t *Trace) Beliefs() []Line {
	course := t.Course()
	if len(course) == 0 {
		return nil
	}
	from, to := course[0].Time.Add(-beliefBefore), course[len(course)-1].Time.Add(beliefAfter)
	routers, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range course {
		routers[l.Router] = true
		if e := l.Text("endpoint"); e != "" {
			endpoints[e] = true
		}
	}
	byTime(t.beliefs)
	var out []Line
	config := map[string]Line{}
	for _, l := range t.beliefs {
		if !routers[l.Router] {
			continue
		}
		if l.Event == "configuration in force" && l.Time.Before(from) {
			config[l.Router] = l
		}
		if l.Time.Before(from) || l.Time.After(to) || isEndpoint(l) && !endpoints[l.Text("name")] {
			continue
		}
		out = append(out, l)
	}
	for _, l := range config {
		out = append(out, l)
	}
	byTime(out)
	return out
}

// isEndpoint tells whether a line is on one endpoint.
func isEndpoint(l Line) bool {
	return len(l.Event) > 9 && l.Event[:9] == "endpoint "
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause is a way in which requests failed.
type Cause struct {
	Event  string `json:"event"` // the line that ended them
	Status string `json:"status,omitempty"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	Sample string `json:"sample"` // one request's id
}

// Day sums up logs: how requests ended, and why.
type Day struct {
	Lines    int
	Answered int
	causes   map[Cause]*Cause
}

// NewDay gives a Day without lines.
func NewDay() *Day { return &Day{causes: map[Cause]*Cause{}} }

// Add takes in a line.
func (d *Day) Add(l Line) {
	d.Lines++
	switch l.Event {
	case "answered":
		d.Answered++
	case "refused", "broken off":
		key := Cause{Event: l.Event, Status: l.Text("status"), Reason: l.Text("reason")}
		c := d.causes[key]
		if c == nil {
			c = &Cause{Event: key.Event, Status: key.Status, Reason: key.Reason, Sample: l.Request}
			d.causes[key] = c
		}
		c.Count++
	}
}

// Causes gives the ways in which requests failed, the most frequent first.
func (d *Day) Causes() []Cause {
	var list []Cause
	for _, c := range d.causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Event, b.Event))
	})
	return list
}
