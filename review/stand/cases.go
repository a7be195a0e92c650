package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the site's sheet.
const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	// restartDelay is the time until a process that has ended is started again.
	restartDelay = time.Second
)

// every calls do at an interval for a time, each call on its own, and waits for all.
func every(interval, length time.Duration, do func(n int)) {
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() { do(n) })
		time.Sleep(interval)
	}
	group.Wait()
}

// revokedKeys: all keys are taken away, one after the other. Later no request with a key
// that no configuration ever held may run, nor one with a key that was taken away.
func revokedKeys(r *run) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	routes := []route{
		{name: "book", host: "agenda.example", prefix: "/book/", kind: "non_idempotent", service: "agenda", attempts: 1, timeout: 2 * time.Second, target: 300 * time.Millisecond},
		{name: "look", host: "agenda.example", prefix: "/look/", kind: "idempotent", service: "agenda", attempts: 2, timeout: 2 * time.Second, target: 300 * time.Millisecond},
	}
	tenants := []tenant{{"alfa", []string{"key-alfa-1", "key-alfa-2"}}, {"beta", []string{"key-beta-1"}}}
	owner := map[string]string{"key-alfa-1": "alfa", "key-alfa-2": "alfa", "key-beta-1": "beta"}
	version := 3
	r.store.configure(version, routes, []string{"agenda"}, tenants)
	for i := range 3 {
		if err := r.startServer(fmt.Sprint("agenda", i), "agenda", fmt.Sprintf("norte-%c", 'a'+i), plain(20*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	keys := []string{"key-alfa-1", "key-alfa-2", "key-beta-1", "key-never-held"}
	var lock sync.Mutex
	sent := map[string]string{} // id to key
	late := map[string]bool{}   // sent later than config_apply_ms after the last key went
	ask1 := func(n int, after bool) {
		a := ask{id: newID("q"), method: http.MethodPost, host: "agenda.example", path: "/book/7", key: keys[n%len(keys)], body: "one seat", budget: 2 * time.Second}
		if n%2 == 1 {
			a.method, a.path, a.body = http.MethodGet, "/look/7", ""
		}
		lock.Lock()
		sent[a.id], late[a.id] = a.key, after
		lock.Unlock()
		r.send(r.routers[n/4%len(r.routers)], a)
	}
	every(60*time.Millisecond, 4*time.Second, func(n int) { ask1(n, false) })
	for id, key := range sent {
		if runs := r.log.of(id); owner[key] != "" && (len(runs) != 1 || runs[0].tenant != owner[key]) {
			return false, fmt.Errorf("before the keys went, request %s with %s ran %d times", id, key, len(runs))
		}
	}
	if r.trouble { // revoke: count = 3, gap_s = 0.5, first all keys of one tenant
		for _, left := range [][]tenant{
			{{"alfa", []string{"key-alfa-2"}}, {"beta", []string{"key-beta-1"}}},
			{{"alfa", []string{}}, {"beta", []string{"key-beta-1"}}},
			{{"alfa", []string{}}, {"beta", []string{}}},
		} {
			time.Sleep(500 * time.Millisecond)
			version += 2
			r.store.configure(version, routes, []string{"agenda"}, left)
			r.note("configuration %d is acknowledged: %v", version, left)
		}
	}
	time.Sleep(configApply + 500*time.Millisecond)
	every(60*time.Millisecond, 6*time.Second, func(n int) { ask1(n, true) })
	foreign, revoked, unnamed := 0, 0, 0
	for id, key := range sent {
		for _, e := range r.log.of(id) {
			switch {
			case owner[key] == "":
				foreign++
			case late[id] && r.trouble:
				revoked++
			}
			if e.tenant == "" {
				unnamed++
			}
		}
	}
	r.note("runs with a key that no configuration ever held: %d; with a key taken away more than %v before: %d; with no Tenant: %d", foreign, configApply, revoked, unnamed)
	return foreign > 0 || revoked > 0, nil
}

// spoiledHead: servers spoil a byte of some answers' heads, so that the answer bears no
// proof. A stream that may not be resumed must not be answered 503 after it has run.
func spoiledHead(r *run) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	routes := []route{{name: "letter", host: "pluma.example", prefix: "/letter/", kind: "streaming", service: "pluma", resume: false, attempts: 1, timeout: 10 * time.Second, target: 2 * time.Second}}
	r.store.configure(3, routes, []string{"pluma"}, []tenant{{"alfa", []string{"key-alfa-1"}}})
	const spoilEach = 20 // garble: share 0.5, x = 0.05, for_s = 5
	var spoil atomic.Bool
	for i := range 4 {
		spoils := i < 2
		answer := stream(4, 30*time.Millisecond)
		if err := r.startServer(fmt.Sprint("pluma", i), "pluma", fmt.Sprintf("norte-%c", 'a'+i%3), func(s *server, w http.ResponseWriter, q *http.Request, e *execution) {
			s.lock.Lock()
			n := s.answers
			s.lock.Unlock()
			if spoil.Load() && spoils && n%spoilEach == 0 {
				proof := w.Header().Get("Server-Stamp")
				w.Header().Del("Server-Stamp")
				w.Header().Set("Server-Stanp", proof)
				r.note("server %s spoils its answer to %s", e.server, e.id)
			}
			answer(s, w, q, e)
		}); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	broken := 0
	var lock sync.Mutex
	if r.trouble {
		time.AfterFunc(3*time.Second, func() { spoil.Store(true) })
		time.AfterFunc(8*time.Second, func() { spoil.Store(false) })
	}
	every(20*time.Millisecond, 10*time.Second, func(n int) {
		a := ask{id: newID("q"), method: http.MethodPost, host: "pluma.example", path: "/letter/7", key: "key-alfa-1", body: "a letter", budget: 8 * time.Second, prefix: fmt.Sprintf("a%d:800,b%d:200,e%04x:90", n%24, n%24, n)}
		o := r.send(r.routers[n%len(r.routers)], a)
		switch o.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		default:
			return
		}
		if len(r.log.of(a.id)) > 0 {
			r.note("request %s was answered %d (%s) and has run", a.id, o.status, strings.TrimSpace(o.body))
			lock.Lock()
			broken++
			lock.Unlock()
		}
	})
	r.note("requests that were refused as not run and have run: %d", broken)
	return broken > 0, nil
}

// knownPart: a part of prompts crashes servers, and all routers know. All of them are
// killed at once and start again. Requests with the part still come, one each 6 s.
func knownPart(r *run) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	const part = "fa7a1"
	routes := []route{{name: "letter", host: "pluma.example", prefix: "/letter/", kind: "streaming", service: "pluma", resume: true, attempts: 3, timeout: 10 * time.Second, target: 2 * time.Second}}
	r.store.configure(3, routes, []string{"pluma"}, []tenant{{"alfa", []string{"key-alfa-1"}}})
	sound := stream(4, 30*time.Millisecond)
	var lock sync.Mutex
	var crashes []time.Time
	for i := range 8 {
		if err := r.startServer(fmt.Sprint("pluma", i), "pluma", fmt.Sprintf("norte-%c", 'a'+i%3), func(s *server, w http.ResponseWriter, q *http.Request, e *execution) {
			if !hasPart(q, part) {
				sound(s, w, q, e)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			if s.crash() {
				lock.Lock()
				crashes = append(crashes, time.Now())
				r.note("server %s crashes, the crash %d", e.server, len(crashes))
				lock.Unlock()
				time.AfterFunc(1500*time.Millisecond, func() { _ = s.start() })
			}
		}); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(4); err != nil {
		return false, err
	}
	type poison struct {
		id   string
		sent time.Time
		by   *router
	}
	var poisons []poison
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { // sound requests share their caller and their other parts
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
			}
			group.Go(func() {
				a := ask{id: newID("sound"), method: http.MethodPost, host: "pluma.example", path: "/letter/7", key: "key-alfa-1", body: "a letter", budget: 5 * time.Second, prefix: fmt.Sprintf("a%d:800,b%d:200,e%04x:90", n%2, n%9, n)}
				r.send(r.routers[n%len(r.routers)], a)
			})
		}
	})
	poisonous := func() outcome {
		n := len(poisons)
		p := r.routers[n%len(r.routers)]
		a := ask{id: newID("part"), method: http.MethodPost, host: "pluma.example", path: fmt.Sprint("/letter/", n), key: "key-alfa-1", body: fmt.Sprint("a letter ", n), budget: 5 * time.Second, prefix: fmt.Sprintf("a%d:800,%s:200,f%04x:90", n%2, part, n)}
		poisons = append(poisons, poison{a.id, time.Now(), p})
		return r.send(p, a)
	}
	time.Sleep(4 * time.Second)
	const pause = 6 * time.Second
	refused := 0
	for n := 0; n < 7 && refused < 2; n++ { // until all know
		next := time.Now().Add(pause)
		if o := poisonous(); o.status == http.StatusServiceUnavailable && len(r.log.of(poisons[n].id)) == 0 {
			refused++
		}
		time.Sleep(time.Until(next))
	}
	lock.Lock()
	known := len(crashes)
	lock.Unlock()
	r.note("%d crashes, %d requests with the part refused", known, refused)
	if refused < 2 || known < 5 {
		close(stop)
		group.Wait()
		return false, fmt.Errorf("after %d crashes only %d requests with the part were refused", known, refused)
	}
	if r.trouble { // herd_kill on core: all are killed at once
		for _, p := range r.routers {
			_ = p.command.Process.Kill()
		}
		r.note("all routers are killed")
		time.Sleep(restartDelay)
		for _, p := range r.routers {
			<-p.exited
			if err := r.start(p); err != nil {
				return false, err
			}
		}
		if err := r.awaitReady(r.routers...); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 500*time.Millisecond)
	for range 6 {
		next := time.Now().Add(pause)
		poisonous()
		time.Sleep(time.Until(next))
	}
	close(stop)
	group.Wait()
	lock.Lock()
	fifth := crashes[4]
	lock.Unlock()
	late := 0
	for _, x := range poisons {
		for _, e := range r.log.of(x.id) {
			if e.at.Sub(fifth) > contact && x.sent.Sub(x.by.since) > contact {
				late++
				r.note("request %s, sent by %s in touch, reached %s %.1f s after the fifth crash", x.id, x.by.name, e.server, e.at.Sub(fifth).Seconds())
			}
		}
	}
	r.note("requests with the part that reached servers later than %v after the fifth crash: %d, three are allowed", contact, late)
	return late > 3, nil
}

// givenUp: a request crashes each server that runs it, a moment after its router has given
// the run up. Before that, half of the connections of the consumers' router are reset once:
// the servers live on.
func givenUp(r *run) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	routes := []route{{name: "letter", host: "pluma.example", prefix: "/letter/", kind: "streaming", service: "pluma", resume: true, attempts: 3, timeout: 10 * time.Second, target: time.Second}}
	r.store.configure(3, routes, []string{"pluma"}, []tenant{{"alfa", []string{"key-alfa-1"}}})
	const (
		poisonBody = "the letter that crashes servers"
		crashAfter = 600 * time.Millisecond // from the beginning of the run
		backAfter  = 9 * time.Second
		pause      = 4800 * time.Millisecond // between two requests that crash servers
	)
	sound := stream(24, 50*time.Millisecond)
	var lock sync.Mutex
	var crashes []time.Time
	for i := range 18 {
		if err := r.startServer(fmt.Sprint("pluma", i), "pluma", fmt.Sprintf("norte-%c", 'a'+i%3), func(s *server, w http.ResponseWriter, q *http.Request, e *execution) {
			if !strings.HasPrefix(e.id, "fatal") {
				sound(s, w, q, e)
				return
			}
			time.Sleep(crashAfter)
			if s.crash() {
				lock.Lock()
				crashes = append(crashes, time.Now())
				r.note("server %s crashes, the crash %d", e.server, len(crashes))
				lock.Unlock()
				time.AfterFunc(backAfter, func() { _ = s.start() })
			}
		}); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { // all consumers are in the zone of the first router
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			group.Go(func() {
				a := ask{id: newID("sound"), method: http.MethodPost, host: "pluma.example", path: fmt.Sprint("/letter/", n), key: "key-alfa-1", body: fmt.Sprint("a letter ", n), budget: 5 * time.Second, prefix: fmt.Sprintf("e%06x:90", n)}
				r.send(r.routers[0], a)
			})
		}
	})
	time.Sleep(8 * time.Second)
	if r.trouble { // reset_conns: one machine, x = 0.5
		busy, hit := 0, 0
		for _, s := range r.servers {
			n := s.resetHalf()
			busy += n
			if n > 0 {
				hit++
			}
		}
		r.note("half of the connections of %s are reset, %d with a request in progress, at %d servers", r.routers[0].name, busy, hit)
	}
	time.Sleep(6 * time.Second)
	type fatal struct {
		id   string
		sent time.Time
	}
	var fatals []fatal
	for n := 0; n < 6; n++ {
		next := time.Now().Add(pause)
		a := ask{id: newID("fatal"), method: http.MethodPost, host: "pluma.example", path: "/letter/fatal", key: "key-alfa-1", body: poisonBody, budget: 8 * time.Second, prefix: "facade:90"}
		fatals = append(fatals, fatal{a.id, time.Now()})
		r.send(r.routers[0], a)
		time.Sleep(time.Until(next))
	}
	close(stop)
	group.Wait()
	lock.Lock()
	defer lock.Unlock()
	if len(crashes) < 3 {
		return false, fmt.Errorf("only %d servers crashed", len(crashes))
	}
	late, repeats := 0, 0
	for _, x := range fatals {
		for n, e := range r.log.of(x.id) {
			if e.at.Sub(crashes[2]) > contact {
				late++
				if n > 0 {
					repeats++ // not the first send of what a consumer has sent again
				}
				r.note("request %s reached %s %.1f s after the third crash", x.id, e.server, e.at.Sub(crashes[2]).Seconds())
			}
		}
	}
	r.note("later than %v after the request had crashed the third server it arrived %d times, %d of them retries by the router, of which three are allowed; crashes: %d", contact, late, repeats, len(crashes))
	return repeats > 3, nil
}
