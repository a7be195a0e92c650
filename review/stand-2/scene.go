package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// otherKey is that of a second tenant.
	otherKey = "anfqasnmgkcuyj8pjbvk"
)

// scene is a small deployment on loopback addresses.
type scene struct {
	temp, binary string
	store        *store
	storeAddress string
	servers      []*server
	routers      []*router
	began        time.Time

	lock   sync.Mutex
	record io.Writer
	runs   map[string][]run // by attempt id
	runLog bool
}

type run struct {
	server, tenant, method, path string
	at                           time.Time
}

func newScene() (*scene, error) {
	temp, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	binary, err := filepath.Abs(filepath.Join("target", "marigoldscaled"))
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	s := &scene{temp: temp, binary: binary, store: newStore(), began: time.Now(), runs: map[string][]run{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }() // ends with the process
	return s, nil
}

// close ends all processes.
func (s *scene) close() {
	for _, r := range s.routers {
		r.kill()
	}
	for _, x := range s.servers {
		x.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.temp) // a temporary folder
	}
}

// note writes a line of the record.
func (s *scene) note(what string, fields ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(s.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(s.record, b.String())
}

// ran records that a server began to run a request.
func (s *scene) ran(id, server string, r *http.Request, body int) {
	s.lock.Lock()
	s.runs[id] = append(s.runs[id], run{server: server, tenant: r.Header.Get("Tenant"), method: r.Method, path: r.URL.Path, at: time.Now()})
	log := s.runLog
	s.lock.Unlock()
	if log {
		s.note("ran", "id", id, "server", server, "body", body)
	}
}

// countRuns returns how often servers have run a request.
func (s *scene) countRuns(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.runs[id])
}

func (s *scene) addServer(x *server) error {
	x.scene = s
	s.servers = append(s.servers, x)
	return x.start()
}

func (s *scene) addRouter(name, zone string, memoryMB int) (*router, error) {
	x := &router{
		scene: s, name: name, zone: zone, memoryMB: memoryMB, storeAddress: s.storeAddress, first: true, core: firstCore() + len(s.routers),
		listen: freeAddress(), ready: freeAddress(), admin: freeAddress(), feed: freeAddress(), handoff: freeAddress(),
	}
	s.routers = append(s.routers, x)
	return x, x.start()
}

// firstCore is the number of the first router's core among those that may be used.
func firstCore() int {
	n, _ := strconv.Atoi(os.Getenv("FIRST_CORE")) // 0 if not set
	return n
}

// awaitReady waits until all routers say that they are ready.
func (s *scene) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, r := range s.routers {
		for !r.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", r.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("all routers ready")
	return nil
}

// configure writes the operator's configuration.
func (s *scene) configure(version int, routes, services []any, tenants []any) {
	spec := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		spec["tenants"] = tenants
	}
	s.store.set("config", "main", spec)
}

var models = []string{"daka510000", "rada7437b5", "ravo486f6a"}

func plainRoute(name, prefix, kind, service string, attempts, timeout int, anonymous bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": 100,
		"priority": 2, "service": service, "max_attempts": attempts, "anonymous": anonymous, "session_affinity": false, "stream_resume": false,
	}
}

func streamRoute(name, prefix, service string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": timeout, "target_latency_ms": 3000,
		"priority": 1, "sizes": models, "service": service, "max_attempts": 3, "anonymous": false, "session_affinity": true, "stream_resume": true, "target_itl_ms": 2000,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

func modelService(name string) map[string]any {
	list := []any{}
	for i, m := range models {
		list = append(list, map[string]any{"name": m, "cost": 0.01 * float64(1+5*i)})
	}
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		"inference_engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 462820, "kv_token_bytes": 18432, "link_mbps": 740000.0, "moves": true, "backups": true, "stride": 7,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": list,
		},
	}
}

// answer is what a consumer got.
type answer struct {
	status int // 0 if the connection ended without an answer
	stamp  string
	body   []byte
	whole  bool
	took   time.Duration
	err    error
	header http.Header
}

func (a answer) served() bool { return a.status >= 200 && a.status < 300 && a.stamp != "" && a.whole }

// ask sends a request as a consumer does, over a client's connections.
func ask(c *http.Client, x *router, method, path, id string, deadline time.Duration, header map[string]string, body []byte) answer {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+x.listen+path, reader)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Accept-Encoding", "identity")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	start := time.Now()
	response, err := c.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: text, whole: err == nil, took: time.Since(start), err: err, header: response.Header}
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// tally counts answers by kind of request and status.
type tally struct {
	lock   sync.Mutex
	counts map[string]int
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (t *tally) add(kind string, a answer) {
	what := fmt.Sprint(a.status)
	switch {
	case a.served():
		what = "served"
	case a.status == 0:
		what = "closed"
	case a.status < 300:
		what = "broken"
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts[kind+" "+what]++
	t.counts[kind+" all"]++
}

func (t *tally) get(name string) int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.counts[name]
}

func (t *tally) String() string {
	t.lock.Lock()
	defer t.lock.Unlock()
	var list []string
	for k, n := range t.counts {
		list = append(list, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

var errCannotRun = errors.New("the case could not run")
