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
	statusTimeout = 2 * time.Second // per status request
	callTimeout   = 8 * time.Second // per other request; a withdrawal waits for all routers
	maxReplyBytes = 64 << 20
)

// call sends one request to a router's admin API and decodes the JSON response
// into reply. It returns an unreachableError if the router does not respond or
// responds with a status of 500 or above.
func (r *Run) call(ctx context.Context, timeout time.Duration, method, url string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encoding the request to %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return badInput(fmt.Errorf("requesting %s: %w", url, err))
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.http.Do(request)
	if err != nil {
		return &unreachableError{err: fmt.Errorf("router does not answer: %w", err)}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &unreachableError{err: fmt.Errorf("reading the response of %s: %w", url, err)}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(url, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return fmt.Errorf("decoding the response of %s: %w", url, err)
	}
	return nil
}

// responseError returns the error of a response with a status other than 200.
func responseError(url string, code int, content []byte) error {
	var response status.ErrorResponse
	if json.Unmarshal(content, &response) != nil || response.Error == "" {
		response.Error = http.StatusText(code)
	}
	err := fmt.Errorf("%s returned status %d: %s", url, code, response.Error)
	if code >= http.StatusInternalServerError {
		return &unreachableError{err: err, responded: true}
	}
	return err
}

// callAny sends a request to the first router that is reachable.
func (r *Run) callAny(method, path string, body, reply any) error {
	if err := r.requireAdmin(); err != nil {
		return err
	}
	var last error
	for _, admin := range r.settings.Admin {
		last = r.call(r.ctx, callTimeout, method, admin+path, body, reply)
		var failed *unreachableError
		if !errors.As(last, &failed) {
			return last
		}
	}
	return last
}

func (r *Run) requireAdmin() error {
	if len(r.settings.Admin) == 0 {
		return badInput(errors.New("no router given: use --admin, MARIGOLD_ADMIN or admin in the settings file"))
	}
	return nil
}

// routerReply is the status response of one router named by the operator.
type routerReply struct {
	adminURL string
	status   status.Status
	err      error
}

// fetchStatuses requests the status of every named router concurrently. It
// returns an error only if no router responds.
func (r *Run) fetchStatuses(ctx context.Context) ([]routerReply, error) {
	replies := make([]routerReply, len(r.settings.Admin))
	var group sync.WaitGroup
	for i, admin := range r.settings.Admin {
		group.Go(func() {
			replies[i].adminURL = admin
			replies[i].err = r.call(ctx, statusTimeout, http.MethodGet, admin+"/v1/status", nil, &replies[i].status)
		})
	}
	group.Wait()
	var last error
	for _, reply := range replies {
		if reply.err == nil {
			return replies, nil
		}
		last = reply.err
	}
	return nil, last
}

// liveRouters returns the routers that may serve requests. A named router that
// responds without a configuration counts with generation 0. A router whose
// observation has expired is left out: it is gone or has stopped serving.
func (r *Run) liveRouters(ctx context.Context) ([]status.Router, error) {
	replies, err := r.fetchStatuses(ctx)
	if err != nil {
		return nil, err
	}
	var live []status.Router
	for _, o := range mergeReplies(replies) {
		if !o.expired() {
			live = append(live, o.router)
		}
	}
	return live, nil
}

// maxStale is the largest times.stale that a router's settings accept.
const maxStale = time.Minute

// observation is the most recent known state of one router.
type observation struct {
	router     status.Router
	age        time.Duration // since the last heartbeat; -1 for the router's own entry
	staleAfter time.Duration // time without confirmation after which the router stops serving
}

// expired reports whether the last heartbeat is so old that the router has
// stopped serving even if it is alive. The factor of 2 allows for clock drift.
func (o observation) expired() bool {
	return o.age > 2*o.staleAfter
}

// mergeReplies merges the replies into one observation per router, sorted by ID.
// A router's own entry takes precedence over entries of other routers, and the
// most recent of these over the others.
func mergeReplies(replies []routerReply) []observation {
	known := map[ident.RouterID]observation{}
	for _, reply := range replies {
		var failed *unreachableError
		if errors.As(reply.err, &failed) && failed.responded {
			id := ident.RouterID(reply.adminURL)
			known[id] = observation{router: status.Router{ID: id, Admin: reply.adminURL}, age: -1, staleAfter: maxStale}
		}
		for _, router := range reply.status.Routers {
			o := observe(reply.status, router)
			if old, seen := known[router.ID]; !seen || o.age < old.age {
				known[router.ID] = o
			}
		}
	}
	all := make([]observation, 0, len(known))
	for _, o := range known {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].router.ID < all[j].router.ID })
	return all
}

// observe returns the observation of one router in a status response. The
// router's own entry gets the age -1, so that it takes precedence.
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

// unreachable returns the admin URLs of the routers that did not respond.
func unreachable(replies []routerReply) []string {
	var urls []string
	for _, reply := range replies {
		var failed *unreachableError
		if errors.As(reply.err, &failed) && !failed.responded {
			urls = append(urls, reply.adminURL)
		}
	}
	return urls
}
