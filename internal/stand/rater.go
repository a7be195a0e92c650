package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// RaterFaults are the faults that a rater can inject.
type RaterFaults struct {
	Down       bool    `json:"down"` // closes connections without a response
	RatingTime Delay   `json:"slow"` // duration of each rating
	Bias       float64 `json:"bias"` // added to each rating
}

// RatingRequest asks for the quality of an answer.
type RatingRequest struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release ident.Release   `json:"release,omitzero"`
	Prompt  string          `json:"prompt"`
	Answer  string          `json:"answer"`
}

// Rating is the response to a RatingRequest.
type Rating struct {
	Quality ident.Quality `json:"quality"`
}

// RatedAnswer records one rating.
type RatedAnswer struct {
	Request ident.RequestID `json:"request"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.ClassID   `json:"class"`
	Release ident.Release   `json:"release,omitzero"`
	Quality ident.Quality   `json:"quality"`
}

// RaterRecord is the body of the rater's GET /admin/runs.
type RaterRecord struct {
	Runs []RatedAnswer `json:"runs"`
}

// Rater is a test double of the answer rater, which reads the quality mark of an
// answer.
type Rater struct {
	handler http.Handler

	mutex  sync.Mutex
	faults RaterFaults
	runs   []RatedAnswer
}

// NewRater returns a rater without faults.
func NewRater() *Rater {
	t := &Rater{}
	server := newServer()
	server.POST("/rate", t.serveRating)
	addAdminRoutes(server, t.Faults, t.SetFaults, t.Record)
	t.handler = server
	return t
}

// ServeHTTP serves the rater protocol and the admin routes.
func (t *Rater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.handler.ServeHTTP(w, r)
}

// Faults returns the current faults.
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

// Record returns the ratings so far.
func (t *Rater) Record() RaterRecord {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return RaterRecord{Runs: append([]RatedAnswer{}, t.runs...)}
}

func (t *Rater) serveRating(c echo.Context) error {
	faults := t.Faults()
	if faults.Down {
		abortConnection()
	}
	var q RatingRequest
	if err := c.Bind(&q); err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	if sleep(c.Request().Context(), time.Duration(faults.RatingTime)) != nil {
		abortConnection()
	}
	quality := min(1, max(0, ParseQualityMark(q.Answer)+ident.Quality(faults.Bias)))
	t.addRating(RatedAnswer{Request: q.Request, Team: q.Team, Class: q.Class, Release: q.Release, Quality: quality})
	return c.JSON(http.StatusOK, Rating{Quality: quality})
}

func (t *Rater) addRating(rated RatedAnswer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, rated)
	if len(t.runs) > maxRecordedRuns {
		t.runs = append([]RatedAnswer(nil), t.runs[maxRecordedRuns/2:]...)
	}
}
