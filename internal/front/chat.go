package front

import (
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// chat handles POST /v1/chat/completions.
func (a *API) chat(c echo.Context) error {
	end, err := a.begin(c)
	if err != nil {
		return err
	}
	defer end()
	snapshot, team, err := a.authorize(c)
	if err != nil {
		return err
	}
	body, memory, release, err := a.readRequest(c)
	if err != nil {
		return err
	}
	defer release()
	r, err := DecodeChat(body)
	if err != nil {
		return err
	}
	r.Team, r.Memory = team, memory
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
	sink := newCollector(c)
	defer sink.release()
	result := a.runner.Run(c.Request().Context(), r, sink)
	if sink.failed {
		return errAnswerMemory()
	}
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
	boundUnread(c)
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
	text   strings.Builder
	conn   *inlet.Conn // nil if its memory is not counted
	held   int64       // bytes of the connection's account
	failed bool        // there was no memory for the answer
}

func newCollector(c echo.Context) *collector { return &collector{conn: inlet.FromRequest(c.Request())} }

// release gives the memory of the answer back.
func (c *collector) release() {
	if c.conn != nil {
		c.conn.Account().Give(c.held)
	}
}

// take takes memory for n bytes of the answer, which is held three times: collected,
// encoded and buffered.
func (c *collector) take(n int) bool {
	want := 3 * int64(c.text.Len()+n)
	if c.conn == nil || want <= freeAnswerBytes || want <= c.held {
		return true
	}
	want *= 2 // saves most changes
	if !c.conn.Account().Take(want-c.held, inlet.Response) {
		c.failed = true
		return false
	}
	c.held = want
	return true
}

func errAnswerMemory() *flow.Refusal {
	return &flow.Refusal{Code: flow.CodeEndpointFailed, Message: "memory for answers is in use", Ran: flow.RanUnknown}
}

// Open implements flow.Sink.
func (c *collector) Open(flow.Meta) error { return nil }

// Text implements flow.Sink.
func (c *collector) Text(text string) error {
	if !c.take(len(text)) {
		return errAnswerMemory()
	}
	c.text.WriteString(text)
	return nil
}
