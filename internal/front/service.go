package front

import (
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// callService handles POST /v1/services/{service}/{path}.
func (a *API) callService(c echo.Context) error {
	end, err := a.begin(c)
	if err != nil {
		return err
	}
	defer end()
	r, release, err := a.decodeServiceCall(c)
	if err != nil {
		return err
	}
	defer release()
	if err := a.readServiceHeaders(&r, c.Request().Header, r.Idempotent); err != nil {
		return err
	}
	sink := newCollector(c)
	defer sink.release()
	result := a.runner.Run(c.Request().Context(), r, sink)
	if result.Refusal != nil {
		return result.Refusal
	}
	header := c.Response().Header()
	header.Set("X-Cost-Micros", strconv.FormatInt(int64(result.Cost), 10))
	header.Set("X-Repeat", strconv.FormatBool(result.Replayed))
	return c.Blob(result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
}

// decodeServiceCall decodes a call but for its headers. The caller calls release at the end.
func (a *API) decodeServiceCall(c echo.Context) (r flow.Request, release func(), err error) {
	snapshot, team, err := a.authorize(c)
	if err != nil {
		return flow.Request{}, nil, err
	}
	service, ok := snapshot.Config.Services[ident.ServiceID(c.Param("service"))]
	if !ok || !team.AllowsService(service.ID) {
		message := "service " + strconv.Quote(c.Param("service")) + " does not exist or is not allowed to team " + strconv.Quote(string(team.ID))
		return flow.Request{}, nil, &flow.Refusal{Code: flow.CodeNotFound, Message: message, Ran: flow.RanNo}
	}
	body, memory, release, err := a.readRequest(c)
	if err != nil {
		return flow.Request{}, nil, err
	}
	path := c.Param("*")
	if strings.Contains(path, "..") || !utf8.ValidString(path) {
		release()
		return flow.Request{}, nil, invalid("path " + strconv.Quote(path) + " is not allowed")
	}
	return flow.Request{
		Team:         team,
		Service:      service.ID,
		Path:         path,
		Body:         body,
		PromptTokens: 1,
		Idempotent:   service.Idempotent,
		ShortAnswer:  true,
		Memory:       memory,
	}, release, nil
}

// readServiceHeaders reads the headers of a service call. It requires an idempotency
// key unless the service is idempotent, and makes the key the request id, so that
// retries of a call are recognized.
func (a *API) readServiceHeaders(r *flow.Request, header http.Header, idempotent bool) error {
	key, err := headerID(header, "Idempotency-Key")
	if err != nil {
		return err
	}
	if key == "" && !idempotent {
		return invalid("header Idempotency-Key is missing; service " + strconv.Quote(string(r.Service)) + " needs it")
	}
	if err := readHeaders(r, header, a.now()); err != nil {
		return err
	}
	r.Idempotency = key
	if key != "" {
		r.Key.Request = ident.RequestID("call:" + string(r.Service) + ":" + key)
	}
	return nil
}
