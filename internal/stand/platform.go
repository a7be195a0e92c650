package stand

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Headers of the platform protocol.
const (
	headerVersion   = "X-Version"
	headerIfVersion = "If-Version"
	headerClass     = "X-Call-Class" // optional, a plat.Class
)

// maxWait limits the wait time of a watch.
const maxWait = time.Minute

// Platform serves a Store over HTTP.
type Platform struct {
	store   *Store
	handler http.Handler
}

// objectBody is the JSON encoding of an object or a change.
type objectBody struct {
	Key     plat.Key     `json:"key"`
	Version plat.Version `json:"version"`
	At      plat.Version `json:"at,omitempty"`
	Value   []byte       `json:"value"`
}

type objectsBody struct {
	Objects []objectBody `json:"objects"`
}

type changesBody struct {
	Changes []objectBody `json:"changes"`
	Upto    plat.Version `json:"upto"`
}

type instancesBody struct {
	Instances []plat.Instance `json:"instances"`
}

// StoreRecord is the body of the platform's GET /admin/runs.
type StoreRecord struct {
	Calls []CallCount `json:"calls"`
}

// NewPlatform returns an HTTP handler for the store.
func NewPlatform(store *Store) *Platform {
	p := &Platform{store: store}
	server := newServer()
	server.GET("/v1/objects", p.list)
	server.GET("/v1/objects/*", p.get)
	server.PUT("/v1/objects/*", p.put)
	server.DELETE("/v1/objects/*", p.remove)
	server.GET("/v1/watch", p.watch)
	server.GET("/v1/instances", p.instances)
	server.PUT("/v1/instances/:id", p.announce)
	addAdminRoutes(server, store.Faults, store.SetFaults, func() StoreRecord {
		return StoreRecord{Calls: store.Counts()}
	})
	p.handler = server
	return p
}

// ServeHTTP serves the platform protocol and the admin routes.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

func (p *Platform) get(c echo.Context) error {
	object, err := p.store.Get(c.Request().Context(), callClass(c), plat.Key(c.Param("*")))
	if err != nil {
		return respondCallError(c, err)
	}
	setVersion(c, object.Version)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (p *Platform) list(c echo.Context) error {
	objects, err := p.store.List(c.Request().Context(), callClass(c), plat.Key(c.QueryParam("prefix")))
	if err != nil {
		return respondCallError(c, err)
	}
	body := objectsBody{Objects: []objectBody{}}
	for _, o := range objects {
		body.Objects = append(body.Objects, objectBody{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return c.JSON(http.StatusOK, body)
}

func (p *Platform) put(c echo.Context) error {
	expect, err := ifVersion(c)
	if err != nil {
		return respondCallError(c, err)
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, plat.MaxValueBytes+1))
	if err != nil {
		return respondError(c, http.StatusBadRequest, "rejected", "no", "value could not be read")
	}
	version, err := p.store.Put(c.Request().Context(), callClass(c), plat.Key(c.Param("*")), value, expect)
	if err != nil {
		return respondCallError(c, err)
	}
	setVersion(c, version)
	return c.NoContent(http.StatusOK)
}

func (p *Platform) remove(c echo.Context) error {
	expect, err := ifVersion(c)
	if err != nil {
		return respondCallError(c, err)
	}
	if err := p.store.Delete(c.Request().Context(), callClass(c), plat.Key(c.Param("*")), expect); err != nil {
		return respondCallError(c, err)
	}
	return c.NoContent(http.StatusOK)
}

func (p *Platform) watch(c echo.Context) error {
	after, err := strconv.ParseUint("0"+c.QueryParam("after"), 10, 64)
	if err != nil {
		return respondCallError(c, errMalformed)
	}
	milliseconds, err := strconv.ParseUint("0"+c.QueryParam("wait"), 10, 32)
	if err != nil {
		return respondCallError(c, errMalformed)
	}
	wait := min(maxWait, time.Duration(milliseconds)*time.Millisecond)
	prefix := plat.Key(c.QueryParam("prefix"))
	changes, upto, err := p.store.Watch(c.Request().Context(), callClass(c), prefix, plat.Version(after), wait)
	if err != nil {
		return respondCallError(c, err)
	}
	body := changesBody{Changes: []objectBody{}, Upto: upto}
	for _, change := range changes {
		body.Changes = append(body.Changes, objectBody{Key: change.Object.Key, Version: change.Object.Version, At: change.At, Value: change.Object.Value})
	}
	return c.JSON(http.StatusOK, body)
}

func (p *Platform) instances(c echo.Context) error {
	found, err := p.store.Instances(c.Request().Context(), callClass(c))
	if err != nil {
		return respondCallError(c, err)
	}
	return c.JSON(http.StatusOK, instancesBody{Instances: found})
}

func (p *Platform) announce(c echo.Context) error {
	var instance plat.Instance
	if err := c.Bind(&instance); err != nil {
		return respondCallError(c, errMalformed)
	}
	instance.ID = c.Param("id")
	if err := p.store.Announce(c.Request().Context(), callClass(c), instance); err != nil {
		return respondCallError(c, err)
	}
	return c.NoContent(http.StatusOK)
}

var errMalformed = errors.New("call is malformed")

// respondCallError responds to a failed call. For a lost reply it closes the
// connection instead.
func respondCallError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, plat.ErrUncertain):
		abortConnection()
	case errors.Is(err, plat.ErrNotFound):
		return respondError(c, http.StatusNotFound, "absent", "no", err.Error())
	case errors.Is(err, plat.ErrConflict):
		return respondError(c, http.StatusConflict, "conflict", "no", err.Error())
	case errors.Is(err, errTooLarge):
		return respondError(c, http.StatusRequestEntityTooLarge, "large", "no", err.Error())
	case errors.Is(err, errLimited):
		return respondError(c, http.StatusTooManyRequests, "limited", "no", err.Error())
	case errors.Is(err, plat.ErrUnavailable):
		return respondError(c, http.StatusServiceUnavailable, "unavailable", "no", err.Error())
	}
	return respondError(c, http.StatusBadRequest, "rejected", "no", err.Error())
}

func callClass(c echo.Context) plat.Class {
	class, err := strconv.Atoi(c.Request().Header.Get(headerClass))
	if err != nil {
		return plat.ClassClaim
	}
	return plat.Class(class)
}

func ifVersion(c echo.Context) (plat.Version, error) {
	version, err := strconv.ParseUint(strings.TrimSpace(c.Request().Header.Get(headerIfVersion)), 10, 64)
	if err != nil {
		return 0, errors.New("If-Version is not a version: name the version that the write replaces, or 0")
	}
	return plat.Version(version), nil
}

func setVersion(c echo.Context, version plat.Version) {
	c.Response().Header().Set(headerVersion, strconv.FormatUint(uint64(version), 10))
}
