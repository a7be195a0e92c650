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

// PlainFaults are the faults that a plain service can inject.
type PlainFaults struct {
	Down        bool  `json:"down"`    // closes connections before executing a call
	CallTime    Delay `json:"slow"`    // duration of each call
	LostReplies int   `json:"lose"`    // number of next calls that are executed but whose reply is lost
	FailedCalls int   `json:"errors"`  // number of next calls that are executed and answered with status 500
	Refuse      bool  `json:"refuse"`  // refuses all calls as overloaded
	Leaving     bool  `json:"leaving"` // refuses new calls and reports that it is leaving
}

// Execution records one executed call.
type Execution struct {
	Key     string          `json:"key"` // idempotency key
	Request ident.RequestID `json:"request"`
	Attempt ident.AttemptID `json:"attempt"`
	Path    string          `json:"path"`
	At      time.Time       `json:"at"`
}

// PlainRecord is the body of a plain service's GET /admin/runs.
type PlainRecord struct {
	Name string         `json:"name"`
	Runs []Execution    `json:"runs"`
	Keys map[string]int `json:"keys"` // executions by idempotency key
}

// PlainResponse is the body of a plain service's response: the number of the
// execution and the caller's body.
type PlainResponse struct {
	Service ident.ServiceID `json:"service"`
	Path    string          `json:"path"`
	Number  int             `json:"number"`
	Body    json.RawMessage `json:"body"`
}

// PlainService simulates a plain service. It executes every call, even repeated
// ones with the same idempotency key.
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

// NewPlainService returns a plain service whose boot ID is its name.
func NewPlainService(name string, service ident.ServiceID) *PlainService {
	p := &PlainService{name: name, service: service, keys: make(map[string]int)}
	server := newServer()
	server.POST("/call/*", p.serveCall)
	server.GET("/load", p.serveLoad)
	addAdminRoutes(server, p.Faults, p.SetFaults, p.Record)
	p.handler = server
	return p
}

// ServeHTTP serves the plain service protocol and the admin routes.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Faults returns the current faults, with LostReplies and FailedCalls counted down.
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

// Record returns the executions so far.
func (p *PlainService) Record() PlainRecord {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := PlainRecord{Name: p.name, Runs: append([]Execution{}, p.runs...), Keys: make(map[string]int)}
	for k, n := range p.keys {
		record.Keys[k] = n
	}
	return record
}

func (p *PlainService) serveCall(c echo.Context) error {
	faults := p.Faults()
	switch {
	case faults.Down:
		abortConnection()
	case faults.Leaving:
		return respondError(c, http.StatusGone, "leaving", "no", "service is leaving")
	case faults.Refuse:
		return respondError(c, http.StatusServiceUnavailable, "overloaded", "no", "service is overloaded")
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil || !json.Valid(body) {
		return respondError(c, http.StatusBadRequest, "rejected", "no", "body is not JSON")
	}
	result := p.execute(c)
	if sleep(c.Request().Context(), time.Duration(faults.CallTime)) != nil {
		result.lost = true
	}
	p.endCall()
	switch {
	case result.lost:
		abortConnection()
	case result.failed:
		return respondError(c, http.StatusInternalServerError, "failed", "yes", "service failed after it ran")
	}
	return c.JSON(http.StatusOK, PlainResponse{Service: p.service, Path: c.Param("*"), Number: result.number, Body: body})
}

// callResult is the result of one executed call.
type callResult struct {
	number int
	lost   bool
	failed bool
}

func (p *PlainService) execute(c echo.Context) callResult {
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
	result := callResult{number: len(p.runs)}
	if p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		result.lost = true
	} else if p.faults.FailedCalls > 0 {
		p.faults.FailedCalls--
		result.failed = true
	}
	return result
}

func (p *PlainService) endCall() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running--
}

func (p *PlainService) serveLoad(c echo.Context) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faults.Down {
		abortConnection()
	}
	return c.JSON(http.StatusOK, LoadReport{
		Report:  fleet.Report{Boot: p.name, Running: p.running, Warm: true},
		Service: p.service,
		Leaving: p.faults.Leaving,
	})
}
