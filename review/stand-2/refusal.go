package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// unknownModel: one consumer names a model that is none of the route's sizes, again and
// again, while ordinary consumers ask as the pages say.
func unknownModel(s *scene, trouble bool) (bool, error) {
	s.configure(7, []any{
		streamRoute("r-review", "/lohu930/", "huvo11a", 10000),
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2, 1000, false),
	}, []any{modelService("huvo11a"), plainService("wuno96b")},
		[]any{map[string]any{"name": "hule930", "api_keys": []string{key}}, map[string]any{"name": "fosa112", "api_keys": []string{otherKey}}})
	for i := range 9 {
		zone := []string{"z-a", "z-b", "z-c"}[i%3]
		if err := s.addServer(&server{name: fmt.Sprintf("model-%d", i), service: "huvo11a", zone: zone, slots: 64, models: models, work: 30 * time.Millisecond, gap: 20 * time.Millisecond, events: 10}); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if err := s.addServer(&server{name: "plain-" + zone, service: "wuno96b", zone: zone, slots: 6, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := s.addRouter("edge-"+zone, zone, 284); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	counts := newTally()
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			client := newClient(11 * time.Second)
			for i := 0; ctx.Err() == nil; i++ {
				a := ask(client, s.routers[i%len(s.routers)], http.MethodPost, "/lohu930/x", fmt.Sprintf("%016x", 3<<40+i), 10*time.Second,
					map[string]string{"Authorization": "Bearer " + otherKey, "Model": "other-model", "Token-Usage": "1460,80"}, []byte("{}"))
				counts.add("unknown model", a)
				s.note("request with an unknown model", "status", a.status, "took", a.took)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for n := range s.routers {
		group.Go(func() {
			client := newClient(11 * time.Second)
			for i := 0; ctx.Err() == nil; i++ {
				group.Go(func() {
					id := fmt.Sprintf("%016x", 4<<40+n<<32+i)
					a := ask(client, s.routers[n], http.MethodPost, fmt.Sprintf("/lohu930/%d", i), id, 10*time.Second,
						map[string]string{"Authorization": "Bearer " + key, "Model": "*", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", i)}, []byte(`{"q":1}`))
					counts.add("stream", a)
					s.note("stream", "id", id, "router", s.routers[n].name, "status", a.status, "bytes", len(a.body), "answer", string(a.body[:min(len(a.body), 60)]))
				})
				group.Go(func() {
					counts.add("plain", ask(client, s.routers[n], http.MethodGet, fmt.Sprintf("/cufi504/%d", i), fmt.Sprintf("%016x", 5<<40+n<<32+i), time.Second,
						map[string]string{"Authorization": "Bearer " + key}, nil))
				})
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	s.note("answers", "counts", counts)
	streams, plain := counts.get("stream all"), counts.get("plain all")
	served := counts.get("stream served")
	all := float64(served+counts.get("plain served")) / float64(streams+plain)
	share := float64(served) / float64(max(1, streams))
	s.note("served", "streams", fmt.Sprintf("%.3f", share), "all", fmt.Sprintf("%.3f", all))
	if streams < 50 || plain < 50 {
		return false, errCannotRun
	}
	return share < all/4, nil
}
