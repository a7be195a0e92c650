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

// chat handles POST /v1/chat/completions.
func (a *API) chat(c echo.Context) error {
	release, err := a.acquireSlot()
	if err != nil {
		return err
	}
	defer release()
	snapshot, team, err := a.authorize(c)
	if err != nil {
		return err
	}
	body, err := readBody(c.Request(), a.limits.BodyBytes)
	if err != nil {
		return err
	}
	r, err := DecodeChat(body)
	if err != nil {
		return err
	}
	r.Team = team
	if err := readHeaders(&r, c.Request().Header, a.now()); err != nil {
		return err
	}
	if err := checkModel(snapshot, &r); err != nil {
		return err
	}
	if r.Stream {
		return a.respondStream(c, r)
	}
	return a.respondJSON(c, r)
}

// authorize returns the latest snapshot and the caller's team.
func (a *API) authorize(c echo.Context) (*fleet.Snapshot, *fleet.Team, error) {
	snapshot := a.snapshot()
	if snapshot == nil || !snapshot.Ready(a.now()) {
		return nil, nil, notReady()
	}
	team, err := authenticate(c.Request().Header, snapshot.Config)
	if err != nil {
		return nil, nil, err
	}
	return snapshot, team, nil
}

// checkModel refuses a model or version that the caller's team may not use. Models
// of other teams are refused like models that do not exist.
func checkModel(s *fleet.Snapshot, r *flow.Request) error {
	if _, exists := s.Config.Models[r.Model]; !exists || !allowsModel(r.Team, r.Model) {
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

func allowsModel(t *fleet.Team, model ident.ModelID) bool {
	for _, g := range t.Models {
		if g.Model == model {
			return true
		}
	}
	return false
}

// respondJSON runs a request and responds with the complete answer.
func (a *API) respondJSON(c echo.Context, r flow.Request) error {
	sink := &collector{}
	result := a.runner.Run(c.Request().Context(), r, sink)
	if result.Refusal != nil {
		setMetaHeaders(c.Response().Header(), result.Meta)
		return result.Refusal
	}
	setMetaHeaders(c.Response().Header(), result.Meta)
	c.Response().Header().Set("X-Cost-Micros", strconv.FormatInt(int64(result.Cost), 10))
	return c.JSON(http.StatusOK, newCompletion(r, result, sink.text.String(), a.now()))
}

// listModels handles GET /v1/models. It lists the models that the caller's team may
// use.
func (a *API) listModels(c echo.Context) error {
	snapshot, team, err := a.authorize(c)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range snapshot.Config.Models {
		if allowsModel(team, m.ID) {
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

// collector is a flow.Sink that collects the complete answer.
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
