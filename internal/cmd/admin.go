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
	statusTimeout   = 2 * time.Second // of a call for status
	callTimeout = 8 * time.Second // of other calls, some of which wait for all routers
	maxReplyBytes     = 64 << 20        // bytes
)

// ask makes one call of a router's admin API.
func (r *Run) call(ctx context.Context, timeout time.Duration, method, url string, body, reply any) error {
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
		return &unreachableError{err: fmt.Errorf("router does not answer: %w", err)}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &unreachableError{err: fmt.Errorf("answer of %s broke off: %w", url, err)}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(url, response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("answer of %s is not valid: %w", url, err)
	}
	return nil
}

func responseError(url string, code int, answer []byte) error {
	var f status.ErrorResponse
	if json.Unmarshal(answer, &f) != nil || f.Error == "" {
		f.Error = http.StatusText(code)
	}
	err := fmt.Errorf("%s answers %d: %s", url, code, f.Error)
	if code >= http.StatusInternalServerError {
		return &unreachableError{err: err, responded: true}
	}
	return err
}

// askAny makes a call of the first router that can be reached.
func (r *Run) callAny(method, path string, body, reply any) error {
	if err := r.requireAdmin(); err != nil {
		return err
	}
	var last error
	for _, admin := range r.settings.Admin {
		last = r.call(r.ctx, callTimeout, method, admin+path, body, reply)
		var reach *unreachableError
		if !errors.As(last, &reach) {
			return last
		}
	}
	return last
}

func (r *Run) requireAdmin() error {
	if len(r.settings.Admin) == 0 {
		return badInput(errors.New("no router is named: use --admin, MARIGOLD_ADMIN or admin in the settings file"))
	}
	return nil
}

// view is what one named router answered.
type routerReply struct {
	adminURL  string // URL
	status status.Status
	err    error
}

// views asks every named router for its status, all at once. It fails only if
// none answers.
func (r *Run) fetchStatuses(ctx context.Context) ([]routerReply, error) {
	answers := make([]routerReply, len(r.settings.Admin))
	var group sync.WaitGroup
	for i, admin := range r.settings.Admin {
		group.Go(func() {
			answers[i].adminURL = admin
			answers[i].err = r.call(ctx, statusTimeout, http.MethodGet, admin+"/v1/status", nil, &answers[i].status)
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
func (r *Run) liveRouters(ctx context.Context) ([]status.Router, error) {
	views, err := r.fetchStatuses(ctx)
	if err != nil {
		return nil, err
	}
	var live []status.Router
	for _, s := range mergeReplies(views) {
		if !s.expired() {
			live = append(live, s.router)
		}
	}
	return live, nil
}

// maxStale is the largest times.stale that a router's settings accept.
const maxStale = time.Minute

// sighting is the best that the views know of one router.
type observation struct {
	router status.Router
	age    time.Duration // since it was last heard
	staleAfter  time.Duration // after which it stops serving when cut off
}

// lost tells whether a router has been silent for so long that, if it lives, it
// has stopped serving; twice the time allows for clocks of unlike speed.
func (s observation) expired() bool {
	return s.age > 2*s.staleAfter
}

// merge joins views: a router's own entry goes before what others last heard of
// it, and among the others the latest counts.
func mergeReplies(views []routerReply) []observation {
	known := map[ident.RouterID]observation{}
	for _, v := range views {
		var reach *unreachableError
		if errors.As(v.err, &reach) && reach.responded {
			id := ident.RouterID(v.adminURL)
			known[id] = observation{router: status.Router{ID: id, Admin: v.adminURL}, age: -1, staleAfter: maxStale}
		}
		for _, router := range v.status.Routers {
			s := observe(v.status, router)
			if old, seen := known[router.ID]; !seen || s.age < old.age {
				known[router.ID] = s
			}
		}
	}
	all := make([]observation, 0, len(known))
	for _, s := range known {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].router.ID < all[j].router.ID })
	return all
}

// see gives a view's knowledge of one router; of itself it is exact.
func observe(s status.Status, router status.Router) observation {
	stale := s.StaleAfter
	if stale <= 0 {
		stale = maxStale
	}
	age := max(s.At.Sub(router.LastSeen), 0)
	if router.ID == s.Self {
		age = -1
	}
	return observation{router: router, age: age, staleAfter: stale}
}

// silent names the routers that did not answer at all.
func unreachable(views []routerReply) []string {
	var names []string
	for _, v := range views {
		var reach *unreachableError
		if errors.As(v.err, &reach) && !reach.responded {
			names = append(names, v.adminURL)
		}
	}
	return names
}
