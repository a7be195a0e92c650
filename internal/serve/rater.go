package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/casc"
	"github.com/marigoldscale/marigoldscale/internal/ctrl"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/strict"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// backgroundRatingTimeout limits a rating for which no caller waits.
	backgroundRatingTimeout = 10 * time.Second
	// raterRetryInterval is the time for which the rater counts as down after a
	// failure.
	raterRetryInterval = 2 * time.Second
)

// rateAnswer requests a rating and reports it to the control thread.
func (s *Server) rateAnswer(ctx context.Context, request flow.Request, release ident.Release, escalated bool, answer string) casc.Rating {
	if s.Rater == nil {
		return casc.Unrated{}
	}
	quality, err := s.Rater.Rate(ctx, RatingRequest{
		Request: request.Key.Request,
		Team:    request.Key.Team,
		Class:   request.Class,
		Release: release.String(),
		Prompt:  request.Prompt,
		Answer:  answer,
	})
	if err != nil {
		s.raterDownUntil.Store(s.Now().Add(raterRetryInterval).UnixNano())
		s.Metrics.Count("rater_failures_total", 1)
		return casc.Unrated{}
	}
	s.SendEvent(ctrl.AnswerRated{
		Release:   release,
		Team:      request.Key.Team,
		Class:     request.Class,
		Escalated: escalated,
		Quality:   quality,
	})
	return casc.Rated{Quality: quality}
}

func (s *Server) raterAvailable(now time.Time) bool {
	return s.Rater != nil && now.UnixNano() >= s.raterDownUntil.Load()
}

// HTTPRater is a Rater that calls a rating service over HTTP.
type HTTPRater struct {
	base   string
	client *http.Client
}

// NewHTTPRater returns a rater for the service at the base URL. It sends with a copy of
// client that detects broken responses.
func NewHTTPRater(base string, client *http.Client) *HTTPRater {
	return &HTTPRater{base: base, client: strict.NewClient(client)}
}

// Rate implements Rater.
func (h *HTTPRater) Rate(ctx context.Context, request RatingRequest) (ident.Quality, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("encoding rating request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("building rating request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("calling rater: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("rater returned status %d, want 200", res.StatusCode)
	}
	var rated struct {
		Quality ident.Quality `json:"quality"`
	}
	if err := json.NewDecoder(res.Body).Decode(&rated); err != nil {
		return 0, fmt.Errorf("decoding rating: %w", err)
	}
	return rated.Quality, nil
}
