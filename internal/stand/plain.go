package stand

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// PlainFaults are a plain service's switchable faults.
type PlainFaults struct {
	Down        bool  `json:"down"`    // cuts connections before anything runs
	CallTime    Delay `json:"slow"`    // time that each call takes
	LostReplies int   `json:"lose"`    // this many next calls run and lose their answer
	FailedCalls int   `json:"errors"`  // this many next calls run and answer with status 500
	Refuse      bool  `json:"refuse"`  // all calls as overloaded
	Leaving     bool  `json:"leaving"` // refuses new calls and says so in its load report
}

// Execution records one executed call.
type Execution struct {
	Key     string          `json:"key"` // idempotency key
	Request ident.RequestID `json:"request"`
	Attempt ident.AttemptID `json:"attempt"`
	Path    string          `json:"path"`
	At      time.Time       `json:"at"`
}

// PlainRecord is what GET /admin/runs of a plain service gives.
type PlainRecord struct {
	Name string         `json:"name"`
	Runs []Execution    `json:"runs"`
	Keys map[string]int `json:"keys"` // executions by idempotency key
}

// PlainAnswer is a plain service's answer: a number that tells executions
// apart, and the caller's body.
type PlainResponse struct {
	Service ident.ServiceID `json:"service"`
	Path    string          `json:"path"`
	Number  int             `json:"number"`
	Body    json.RawMessage `json:"body"`
}

// Plain is a plain service stand-in that executes whatever it is sent, also
// twice under one idempotency key.
type PlainService struct {
	name    string
	service ident.ServiceID
	handler http.Handler

	mutex   sync.Mutex
	faults  PlainFaults
	running int
	runs    []Execution
	keys    map[string]int
}

// NewPlain gives a service whose boot id is its name.
func NewPlainService(name string, service ident.ServiceID) *PlainService {
	p := &PlainService{name: name, service: service, keys: make(map[string]int)}
	server := newEcho()
	server.POST("/call/*", p.call)
	server.GET("/load", p.load)
	adminRoutes(server, p.Faults, p.SetFaults, p.Record)
	p.handler = server
	return p
}

// ServeHTTP serves the plain service protocol and the admin paths.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Faults gives the faults now in force, with Lose and Errors counted down.
func (p *PlainService) Faults() PlainFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *PlainService) SetFaults(faults PlainFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// Record gives the executions so far.
func (p *PlainService) Record() PlainRecord {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := PlainRecord{Name: p.name, Runs: append([]Execution{}, p.runs...), Keys: make(map[string]int)}
	for k, n := range p.keys {
		record.Keys[k] = n
	}
	return record
}

func (p *PlainService) call(c echo.Context) error {
	faults := p.Faults()
	switch {
	case faults.Down:
		cutConnection()
	case faults.Leaving:
		return refuse(c, http.StatusGone, "leaving", "no", "service is leaving")
	case faults.Refuse:
		return refuse(c, http.StatusServiceUnavailable, "overloaded", "no", "service is overloaded")
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil || !json.Valid(body) {
		return refuse(c, http.StatusBadRequest, "rejected", "no", "body is not JSON")
	}
	ended := p.execute(c)
	if pause(c.Request().Context(), time.Duration(faults.CallTime)) != nil {
		ended.lost = true
	}
	p.leave()
	switch {
	case ended.lost:
		cutConnection()
	case ended.failed:
		return refuse(c, http.StatusInternalServerError, "failed", "yes", "service failed after it ran")
	}
	return c.JSON(http.StatusOK, PlainResponse{Service: p.service, Path: c.Param("*"), Number: ended.number, Body: body})
}

// execution is what became of one call.
type execution struct {
	number int
	lost   bool
	failed bool
}

func (p *PlainService) execute(c echo.Context) execution {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	header := c.Request().Header
	e := Execution{
		Key:     header.Get("Idempotency-Key"),
		Request: ident.RequestID(header.Get("X-Request-Id")),
		Attempt: ident.AttemptID(header.Get("X-Attempt-Id")),
		Path:    c.Param("*"),
		At:      time.Now(),
	}
	p.running++
	p.runs = append(p.runs, e)
	p.keys[e.Key]++
	ended := execution{number: len(p.runs)}
	if p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		ended.lost = true
	} else if p.faults.FailedCalls > 0 {
		p.faults.FailedCalls--
		ended.failed = true
	}
	return ended
}

func (p *PlainService) leave() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running--
}

func (p *PlainService) load(c echo.Context) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.Down {
		cutConnection()
	}
	return c.JSON(http.StatusOK, LoadReport{
		Report:  fleet.Report{Boot: p.name, Running: p.running, Warm: true},
		Service: p.service,
		Leaving: p.faults.Leaving,
	})
}
