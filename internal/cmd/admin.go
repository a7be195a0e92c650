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
	var f status.Failure
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

// routers gives all live routers that the named ones know. A named router that
// answers, but has no configuration yet, counts as one of generation 0.
func (r *Run) routers(ctx context.Context) ([]status.Router, error) {
	views, err := r.views(ctx)
	if err != nil {
		return nil, err
	}
	return merge(views), nil
}

// merge joins views: a router's own entry goes before what others last heard of
// it, and among the others the newest heartbeat counts.
func merge(views []view) []status.Router {
	known := map[ident.RouterID]status.Router{}
	own := map[ident.RouterID]bool{}
	for _, v := range views {
		var reach *reachError
		if errors.As(v.err, &reach) && reach.alive {
			known[ident.RouterID(v.admin)] = status.Router{ID: ident.RouterID(v.admin), Admin: v.admin}
		}
		for _, router := range v.status.Routers {
			old, seen := known[router.ID]
			self := router.ID == v.status.Self
			if self || !seen || !own[router.ID] && router.Seen.After(old.Seen) {
				known[router.ID] = router
				own[router.ID] = own[router.ID] || self
			}
		}
	}
	all := make([]status.Router, 0, len(known))
	for _, router := range known {
		all = append(all, router)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
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
