package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	adminTimeout = 2 * time.Second // of one call
	maxReply     = 64 << 20        // bytes
)

// ask makes one call of a router's admin API.
func (r *Run) ask(ctx context.Context, method, url string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
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
		return &reachError{err: err}
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
		last = r.ask(r.ctx, method, admin+path, body, reply)
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

// views asks every named router for its status, all at once. It fails only if
// none answers.
func (r *Run) views(ctx context.Context) ([]status.Status, error) {
	type answer struct {
		view status.Status
		err  error
	}
	answers := make(chan answer, len(r.settings.Admin))
	for _, admin := range r.settings.Admin {
		go func() {
			var a answer
			a.err = r.ask(ctx, http.MethodGet, admin+"/v1/status", nil, &a.view)
			answers <- a
		}()
	}
	var views []status.Status
	var last error
	for range r.settings.Admin {
		a := <-answers
		if a.err != nil {
			last = a.err
			continue
		}
		views = append(views, a.view)
	}
	if len(views) == 0 {
		return nil, last
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Self < views[j].Self })
	return views, nil
}

// routers gives all live routers that the named ones know.
func (r *Run) routers(ctx context.Context) ([]status.Router, error) {
	views, err := r.views(ctx)
	if err != nil {
		return nil, err
	}
	return merge(views), nil
}

// merge joins views: a router's own entry goes before what others last heard of
// it, and among the others the newest heartbeat counts.
func merge(views []status.Status) []status.Router {
	known := map[ident.RouterID]status.Router{}
	own := map[ident.RouterID]bool{}
	for _, v := range views {
		for _, router := range v.Routers {
			old, seen := known[router.ID]
			self := router.ID == v.Self
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
