package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: objects by kind and name, one revision counter,
// lists, watches and conditional writes.
type store struct {
	lock     sync.Mutex
	era      int
	revision int
	objects  map[string]object
	events   []event
	down     bool // answers nothing: each call is reset
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int      `json:"revision,omitempty"`
	Created         int64    `json:"created,omitempty"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type event struct {
	kind    string
	at      int
	object  object
	deleted bool
}

func newStore() *store { return &store{revision: 1, objects: map[string]object{}} }

// set writes an object for the operator or a server.
func (s *store) set(kind, name string, spec any) {
	raw, _ := json.Marshal(spec) // of maps and lists, which cannot fail
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.objects[kind+"/"+name]
	o.Spec = raw
	s.write(kind, name, o)
}

func (s *store) write(kind, name string, o object) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = int64(s.revision)
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind+"/"+name] = o
	s.events = append(s.events, event{kind: kind, at: s.revision, object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, known := s.objects[kind+"/"+name]
	if !known {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, at: s.revision, object: o, deleted: true})
}

// names returns the names of a kind.
func (s *store) names(kind string) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	var list []string
	for key := range s.objects {
		if name, found := strings.CutPrefix(key, kind+"/"); found {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// copyState returns a copy to come back from.
func (s *store) copyState() (revision int, objects map[string]object) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.revision, maps.Clone(s.objects)
}

// setDown ends or resumes the service of the store.
func (s *store) setDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

// rewind replaces the state by an older copy.
func (s *store) rewind(revision int, objects map[string]object) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.era++
	s.revision, s.objects = revision, maps.Clone(objects)
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.at > revision })
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/marigoldscale/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	parts := strings.SplitN(path, "/", 3)
	time.Sleep(2 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.read(w, parts)
	default:
		s.change(w, r, parts)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	if s.down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a lost answer shows at the router
}

func (s *store) read(w http.ResponseWriter, parts []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(parts) > 1 {
		if o, known := s.objects[parts[0]+"/"+parts[1]]; known {
			s.reply(w, http.StatusOK, o)
			return
		}
		s.reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	entries := []object{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, parts[0]+"/") {
			entries = append(entries, s.objects[key])
		}
	}
	s.reply(w, http.StatusOK, map[string]any{"entries": entries, "more": false, "at_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for r.Context().Err() == nil {
		if s.answerWatch(w, kind, from, time.Now().After(end)) {
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
}

func (s *store) answerWatch(w http.ResponseWriter, kind string, from int, over bool) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down || from > s.revision {
		s.reply(w, http.StatusGone, map[string]any{})
		return true
	}
	list := []map[string]any{}
	for _, e := range s.events {
		if e.kind == kind && e.at > from {
			list = append(list, map[string]any{"object": e.object, "deleted": e.deleted})
		}
	}
	if len(list) == 0 && !over {
		return false
	}
	s.reply(w, http.StatusOK, map[string]any{"events": list, "at_revision": s.revision})
	return true
}

func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	name := o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, known := s.objects[parts[0]+"/"+name]
	expect := o.Metadata.Revision
	if n, err := strconv.Atoi(r.URL.Query().Get("revision")); err == nil {
		expect = n
	}
	switch {
	case s.down:
		panic(http.ErrAbortHandler)
	case r.Method == http.MethodPost && known, r.Method != http.MethodPost && known && expect != 0 && expect != old.Metadata.Revision:
		s.reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !known:
		s.reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		s.removeLocked(parts[0], name)
		s.reply(w, http.StatusOK, old)
	case len(parts) > 2 && parts[2] == "status":
		old.Status = o.Status
		s.reply(w, http.StatusOK, s.write(parts[0], name, old))
	default:
		old.Spec, old.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
		s.reply(w, http.StatusOK, s.write(parts[0], name, old))
	}
}
