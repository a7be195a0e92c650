package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes to answer.
const storeLatency = 4 * time.Millisecond

// store plays the platform's store.
type store struct {
	address string
	http    *http.Server

	lock     sync.Mutex
	changed  *sync.Cond
	revision int
	objects  map[string]*object // by kind/name
	events   []event
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int      `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type event struct {
	kind    string
	Object  *object `json:"object"`
	Deleted bool    `json:"deleted"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]*object{}}
	s.changed = sync.NewCond(&s.lock)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// set writes an object as the operator or a server does. Its return is the acknowledgement.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.write(kind, name, raw, nil)
}

// write replaces an object. A nil spec or status keeps the old one.
func (s *store) write(kind, name string, spec, status json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: int64(s.revision), Finalizers: []string{}}, Spec: spec, Status: status}
	if old := s.objects[kind+"/"+name]; old != nil {
		o.Metadata.Created = old.Metadata.Created
		if spec == nil {
			o.Spec = old.Spec
		}
		if status == nil {
			o.Status = old.Status
		}
	}
	s.objects[kind+"/"+name] = o
	s.events = append(s.events, event{kind: kind, Object: o})
	s.changed.Broadcast()
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.objects[kind+"/"+name]
	if old == nil {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	gone := *old
	gone.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, Object: &gone, Deleted: true})
	s.changed.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/marigoldscale/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet:
		s.get(w, path)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, path)
	case r.Method == http.MethodDelete && len(path) == 2:
		s.remove(path[0], path[1])
		reply(w, http.StatusOK, nil)
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Store-Era", "1")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(w http.ResponseWriter, path []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(path) > 1 {
		if o := s.objects[path[0]+"/"+path[1]]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, nil)
		return
	}
	entries := []*object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, path[0]+"/") {
			entries = append(entries, o)
		}
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "more": false, "at_revision": s.revision})
}

func (s *store) put(w http.ResponseWriter, r *http.Request, path []string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.objects[path[0]+"/"+o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && old != nil,
		old != nil && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && old == nil:
		reply(w, http.StatusNotFound, nil)
	case len(path) > 2:
		reply(w, http.StatusOK, s.write(path[0], o.Metadata.Name, nil, o.Status))
	default:
		reply(w, http.StatusOK, s.write(path[0], o.Metadata.Name, o.Spec, nil))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.changed.Broadcast()
	})
	defer timer.Stop()
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				found = append(found, e)
			}
		}
		if len(found) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": found, "at_revision": s.revision})
			return
		}
		s.changed.Wait()
	}
}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, service string
	resume                            bool
	attempts                          int
	timeout                           time.Duration
	target                            time.Duration
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// configure writes the operator's configuration.
func (s *store) configure(version int, routes []route, services []string, tenants []tenant) {
	var list []any
	for _, x := range routes {
		m := map[string]any{
			"name": x.name, "hostname": x.host, "path_prefix": x.prefix, "route_kind": x.kind, "timeout_ms": x.timeout.Milliseconds(),
			"target_latency_ms": x.target.Milliseconds(), "priority": 1, "service": x.service, "max_attempts": x.attempts, "anonymous": false,
		}
		if x.kind == "streaming" {
			m["session_affinity"], m["stream_resume"], m["target_itl_ms"] = true, x.resume, 1200
		}
		list = append(list, m)
	}
	var kinds []any
	for _, name := range services {
		kinds = append(kinds, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 290, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		})
	}
	s.set("config", "main", map[string]any{
		"version": version, "routes": list, "services": kinds, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (r *run) startStore() error {
	s, err := newStore()
	if err != nil {
		return fmt.Errorf("start the store: %w", err)
	}
	r.store = s
	return nil
}
