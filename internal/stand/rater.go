package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RaterFaults are the rater's switchable faults.
type RaterFaults struct {
	Down       bool    `json:"down"` // cuts connections
	RatingTime Delay   `json:"slow"` // time that each rating takes
	Bias       float64 `json:"bias"` // added to each rating
}

// Question asks the rater for the quality of an answer.
type RatingRequest struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release ident.Release   `json:"release,omitzero"`
	Prompt  string          `json:"prompt"`
	Answer  string          `json:"answer"`
}

// Rating is the rater's answer.
type Rating struct {
	Quality ident.Quality `json:"quality"`
}

// Rated records one rating.
type RatedAnswer struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release ident.Release   `json:"release,omitzero"`
	Quality ident.Quality   `json:"quality"`
}

// RaterRecord is what GET /admin/runs of the rater gives.
type RaterRecord struct {
	Runs []RatedAnswer `json:"runs"`
}

// Rater is a rater stand-in that reads the quality mark of an answer.
type Rater struct {
	handler http.Handler

	mutex  sync.Mutex
	faults RaterFaults
	runs   []RatedAnswer
}

// NewRater gives a healthy rater.
func NewRater() *Rater {
	t := &Rater{}
	server := newEcho()
	server.POST("/rate", t.rate)
	adminRoutes(server, t.Faults, t.SetFaults, t.Record)
	t.handler = server
	return t
}

// ServeHTTP serves the rater protocol and the admin paths.
func (t *Rater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.handler.ServeHTTP(w, r)
}

// Faults gives the faults now in force.
func (t *Rater) Faults() RaterFaults {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults
}

// SetFaults replaces the faults.
func (t *Rater) SetFaults(faults RaterFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Record gives the ratings so far.
func (t *Rater) Record() RaterRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return RaterRecord{Runs: append([]RatedAnswer{}, t.runs...)}
}

func (t *Rater) rate(c echo.Context) error {
	faults := t.Faults()
	if faults.Down {
		cutConnection()
	}
	var q RatingRequest
	if err := c.Bind(&q); err != nil {
		return refuse(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	if pause(c.Request().Context(), time.Duration(faults.RatingTime)) != nil {
		cutConnection()
	}
	quality := min(1, max(0, ParseQualityMark(q.Answer)+ident.Quality(faults.Bias)))
	t.keep(RatedAnswer{Request: q.Request, Team: q.Team, Class: q.Class, Release: q.Release, Quality: quality})
	return c.JSON(http.StatusOK, Rating{Quality: quality})
}

func (t *Rater) keep(rated RatedAnswer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, rated)
	if len(t.runs) > runsKept {
		t.runs = append([]RatedAnswer(nil), t.runs[runsKept/2:]...)
	}
}
