package front

import (
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// chat answers POST /v1/chat/completions, whole or streamed.
func (f *API) chat(c echo.Context) error {
	leave, err := f.enter()
	if err != nil {
		return err
	}
	defer leave()
	snapshot, team, err := f.admit(c)
	if err != nil {
		return err
	}
	body, err := readBody(c.Request(), f.limits.BodyBytes)
	if err != nil {
		return err
	}
	r, err := DecodeChat(body)
	if err != nil {
		return err
	}
	r.Team = team
	if err := readHeaders(&r, c.Request().Header, f.now()); err != nil {
		return err
	}
	if err := checkModel(snapshot, &r); err != nil {
		return err
	}
	if r.Stream {
		return f.stream(c, r)
	}
	return f.whole(c, r)
}

// admit takes the newest snapshot and the caller's team.
func (f *API) admit(c echo.Context) (*fleet.Snapshot, *fleet.Team, error) {
	snapshot := f.snapshot()
	if snapshot == nil || !snapshot.Ready(f.now()) {
		return nil, nil, notReady()
	}
	team, err := authenticate(c.Request().Header, snapshot.Config)
	if err != nil {
		return nil, nil, err
	}
	return snapshot, team, nil
}

// checkModel refuses a model that the caller's team may not use; to the team,
// another team's model does not exist.
func checkModel(s *fleet.Snapshot, r *flow.Request) error {
	if _, declared := s.Config.Models[r.Model]; !declared || !granted(r.Team, r.Model) {
		message := "model " + strconv.Quote(string(r.Model)) + " does not exist or is not allowed to team " + strconv.Quote(string(r.Team.ID))
		return &flow.Refusal{Code: flow.CodeNotFound, Message: message, Ran: flow.RanNo}
	}
	if r.Version == "" {
		return nil
	}
	release := ident.Release{Model: r.Model, Version: r.Version}
	if !r.Team.Allows(release) {
		message := "version " + strconv.Quote(release.String()) + " is not allowed to team " + strconv.Quote(string(r.Team.ID))
		return &flow.Refusal{Code: flow.CodeForbidden, Message: message, Ran: flow.RanNo}
	}
	return nil
}

func granted(t *fleet.Team, model ident.ModelID) bool {
	for _, g := range t.Models {
		if g.Model == model {
			return true
		}
	}
	return false
}

// whole answers with one JSON document when the answer is complete.
func (f *API) whole(c echo.Context, r flow.Request) error {
	sink := &collector{}
	result := f.runner.Run(c.Request().Context(), r, sink)
	if result.Refusal != nil {
		setMetaHeaders(c.Response().Header(), result.Meta)
		return result.Refusal
	}
	setMetaHeaders(c.Response().Header(), result.Meta)
	c.Response().Header().Set("X-Cost-Micros", strconv.FormatInt(int64(result.Cost), 10))
	return c.JSON(http.StatusOK, newCompletion(r, result, sink.text.String(), f.now()))
}

// models answers GET /v1/models with what the caller's team may use.
func (f *API) models(c echo.Context) error {
	snapshot, team, err := f.admit(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range snapshot.Config.Models {
		if granted(team, m.ID) {
			list.Data = append(list.Data, modelEntry{ID: string(m.ID), Object: "model", Owner: "marigoldscale"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return c.JSON(http.StatusOK, list)
}

func setMetaHeaders(header http.Header, m flow.Meta) {
	if m.Release.Model != "" {
		header.Set("X-Release", m.Release.String())
	}
	if m.SessionToken != "" {
		header.Set("X-Session-Token", m.SessionToken)
	}
	if m.SessionMoved {
		header.Set("X-Session-Moved", "withdrawn")
	}
}

// collector gathers a whole answer.
type collector struct {
	text strings.Builder
}

// Open implements flow.Sink.
func (c *collector) Open(flow.Meta) error { return nil }

// Text implements flow.Sink.
func (c *collector) Text(text string) error {
	c.text.WriteString(text)
	return nil
}
