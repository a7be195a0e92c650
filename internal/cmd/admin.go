package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	askTimeout   = 2 * time.Second // of a call for status
	orderTimeout = 8 * time.Second // of other calls, some of which wait for all routers
	maxReply     = 64 << 20        // bytes
)

// ask makes one call of a router's admin API.
func (r *Run) ask(ctx context.Context, timeout time.Duration, method, url string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("ask %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return badInput(fmt.Errorf("ask %s: %w", url, err))
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.http.Do(request)
	if err != nil {
		return &reachError{err: fmt.Errorf("router does not answer: %w", err)}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return &reachError{err: fmt.Errorf("answer of %s broke off: %w", url, err)}
	}
	if response.StatusCode != http.StatusOK {
		return refusal(url, response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("answer of %s is not valid: %w", url, err)
	}
	return nil
}

func refusal(url string, code int, answer []byte) error {
	var f status.ErrorResponse
	if json.Unmarshal(answer, &f) != nil || f.Error == "" {
		f.Error = http.StatusText(code)
	}
	err := fmt.Errorf("%s answers %d: %s", url, code, f.Error)
	if code >= http.StatusInternalServerError {
		return &reachError{err: err, alive: true}
	}
	return err
}

// askAny makes a call of the first router that can be reached.
func (r *Run) askAny(method, path string, body, reply any) error {
	if err := r.needAdmin(); err != nil {
		return err
	}
	var last error
	for _, admin := range r.settings.Admin {
		last = r.ask(r.ctx, orderTimeout, method, admin+path, body, reply)
		var reach *reachError
		if !errors.As(last, &reach) {
			return last
		}
	}
	return last
}

func (r *Run) needAdmin() error {
	if len(r.settings.Admin) == 0 {
		return badInput(errors.New("no router is named: use --admin, MARIGOLD_ADMIN or admin in the settings file"))
	}
	return nil
}

// view is what one named router answered.
type view struct {
	admin  string // URL
	status status.Status
	err    error
}

// views asks every named router for its status, all at once. It fails only if
// none answers.
func (r *Run) views(ctx context.Context) ([]view, error) {
	answers := make([]view, len(r.settings.Admin))
	var group sync.WaitGroup
	for i, admin := range r.settings.Admin {
		group.Go(func() {
			answers[i].admin = admin
			answers[i].err = r.ask(ctx, askTimeout, http.MethodGet, admin+"/v1/status", nil, &answers[i].status)
		})
	}
	group.Wait()
	var last error
	for _, a := range answers {
		if a.err == nil {
			return answers, nil
		}
		last = a.err
	}
	return nil, last
}

// routers gives the routers that can have a configuration in force. A named
// router that answers, but has no configuration yet, counts as one of
// generation 0. A router that nobody has heard for long is gone or has stopped
// serving, and is left out.
func (r *Run) routers(ctx context.Context) ([]status.Router, error) {
	views, err := r.views(ctx)
	if err != nil {
		return nil, err
	}
	var live []status.Router
	for _, s := range merge(views) {
		if !s.lost() {
			live = append(live, s.router)
		}
	}
	return live, nil
}

// maxStale is the largest times.stale that a router's settings accept.
const maxStale = time.Minute

// sighting is the best that the views know of one router.
type sighting struct {
	router status.Router
	age    time.Duration // since it was last heard
	stale  time.Duration // after which it stops serving when cut off
}

// lost tells whether a router has been silent for so long that, if it lives, it
// has stopped serving; twice the time allows for clocks of unlike speed.
func (s sighting) lost() bool {
	return s.age > 2*s.stale
}

// merge joins views: a router's own entry goes before what others last heard of
// it, and among the others the latest counts.
func merge(views []view) []sighting {
	known := map[ident.RouterID]sighting{}
	for _, v := range views {
		var reach *reachError
		if errors.As(v.err, &reach) && reach.alive {
			id := ident.RouterID(v.admin)
			known[id] = sighting{router: status.Router{ID: id, Admin: v.admin}, age: -1, stale: maxStale}
		}
		for _, router := range v.status.Routers {
			s := see(v.status, router)
			if old, seen := known[router.ID]; !seen || s.age < old.age {
				known[router.ID] = s
			}
		}
	}
	all := make([]sighting, 0, len(known))
	for _, s := range known {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].router.ID < all[j].router.ID })
	return all
}

// see gives a view's knowledge of one router; of itself it is exact.
func see(s status.Status, router status.Router) sighting {
	stale := s.StaleAfter
	if stale <= 0 {
		stale = maxStale
	}
	age := max(s.At.Sub(router.LastSeen), 0)
	if router.ID == s.Self {
		age = -1
	}
	return sighting{router: router, age: age, stale: stale}
}

// silent names the routers that did not answer at all.
func silent(views []view) []string {
	var names []string
	for _, v := range views {
		var reach *reachError
		if errors.As(v.err, &reach) && !reach.alive {
			names = append(names, v.admin)
		}
	}
	return names
}
