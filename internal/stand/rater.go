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

// Rater simulates the answer rater. It rates an answer by its quality mark.
type Rater struct {
	handler http.Handler

	mutex  sync.Mutex
	faults RaterFaults
	runs   []RatedAnswer
}

// NewRater returns a rater without faults.
func NewRater() *Rater {
	rt := &Rater{}
	server := newServer()
	server.POST("/rate", rt.serveRating)
	addAdminRoutes(server, rt.Faults, rt.SetFaults, rt.Record)
	rt.handler = server
	return rt
}

// ServeHTTP serves the rater protocol and the admin routes.
func (rt *Rater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rt.handler.ServeHTTP(w, r)
}

// Faults returns the current faults.
func (rt *Rater) Faults() RaterFaults {
	rt.mutex.Lock()
	defer rt.mutex.Unlock()
	return rt.faults
}

// SetFaults replaces the faults.
func (rt *Rater) SetFaults(faults RaterFaults) {
	rt.mutex.Lock()
	defer rt.mutex.Unlock()
	rt.faults = faults
}

// Record returns the ratings so far.
func (rt *Rater) Record() RaterRecord {
	rt.mutex.Lock()
	defer rt.mutex.Unlock()
	return RaterRecord{Runs: append([]RatedAnswer{}, rt.runs...)}
}

func (rt *Rater) serveRating(c echo.Context) error {
	faults := rt.Faults()
	if faults.Down {
		abortConnection()
	}
	var request RatingRequest
	if err := c.Bind(&request); err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
	}
	if sleep(c.Request().Context(), time.Duration(faults.RatingTime)) != nil {
		abortConnection()
	}
	quality := min(1, max(0, ParseQualityMark(request.Answer)+ident.Quality(faults.Bias)))
	rt.addRating(RatedAnswer{Request: request.Request, Team: request.Team, Class: request.Class, Release: request.Release, Quality: quality})
	return c.JSON(http.StatusOK, Rating{Quality: quality})
}

func (rt *Rater) addRating(rated RatedAnswer) {
	rt.mutex.Lock()
	defer rt.mutex.Unlock()
	rt.runs = append(rt.runs, rated)
	if len(rt.runs) > maxRecordedRuns {
		rt.runs = append([]RatedAnswer(nil), rt.runs[maxRecordedRuns/2:]...)
	}
}
