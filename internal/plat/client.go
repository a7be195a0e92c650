package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldscale/marigoldscale/internal/strict"
)

const (
	// maxReplyBytes bounds the part of a reply that is read.
	maxReplyBytes = 64 << 20
	// maxPages bounds the pages of one list, in case the platform never returns
	// a last page.
	maxPages = 1000
	// watchGrace is added to a watch's own duration before the call times out.
	watchGrace    = 2 * time.Second
	headerVersion = "X-Version"
	// contentType is the media type of every written body.
	contentType     = "application/json"
	headerIfVersion = "If-Version"
)

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	base     string
	http     *http.Client
	budget   *Budget
	retry    RetryPolicy
	dialect  Dialect
	counters [classCount]callCounters
	nextEra  atomic.Uint64 // the era after the latest that a reply reported, 0 before the first reply
}

// RetryPolicy configures retries of reads; writes are never retried.
type RetryPolicy struct {
	Attempts   int           // maximum attempts of one read, including the first
	Backoff    time.Duration // mean delay before the second attempt; doubles with each further one
	Timeout    time.Duration // of one attempt
	WatchGrace time.Duration // added to a watch's duration before it times out
}

// DefaultRetryPolicy returns a policy for a platform that answers within
// milliseconds.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Attempts: 3, Backoff: 20 * time.Millisecond, Timeout: 2 * time.Second, WatchGrace: watchGrace}
}

// callCounters holds the metrics of one class of calls.
type callCounters struct {
	calls    metrics.Counter
	refused  metrics.Counter
	retries  metrics.Counter
	failed   metrics.Counter
	sent     metrics.Counter
	received metrics.Counter
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at the URL base, such as
// http://host:port. It counts calls and bytes per class in registry.
func NewClient(base string, h *http.Client, b *Budget, r RetryPolicy, registry metrics.Registry) *Client {
	return NewClientWithDialect(base, h, b, r, registry, objectAPI{})
}

// NewClientWithDialect returns a client that encodes and decodes calls with
// dialect. It sends with a copy of h that detects broken responses.
func NewClientWithDialect(base string, h *http.Client, b *Budget, r RetryPolicy, registry metrics.Registry, dialect Dialect) *Client {
	c := &Client{base: base, http: strict.NewClient(h), budget: b, retry: r, dialect: dialect}
	for i := range c.counters {
		c.counters[i] = newCallCounters(registry, Class(i))
	}
	return c
}

// Era returns the latest era of the store that a reply reported, and false before
// the first reply.
func (c *Client) Era() (Era, bool) {
	next := c.nextEra.Load()
	return Era(max(next, 1) - 1), next > 0
}

// recordEra records the era of a reply. Replies may arrive out of order.
func (c *Client) recordEra(era Era) {
	next := uint64(era) + 1
	for {
		known := c.nextEra.Load()
		if next <= known || c.nextEra.CompareAndSwap(known, next) {
			return
		}
	}
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, class Class, key Key) (Object, error) {
	r, err := c.read(ctx, class, c.dialect.GetPath(key), c.retry.Timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %q: %w", key, err)
	}
	o, err := c.dialect.DecodeObject(key, r.version, r.body)
	if err != nil {
		return Object{}, fmt.Errorf("get %q: %w", key, err)
	}
	o.Version = NewVersion(r.era, uint64(o.Version))
	return o, nil
}

// List returns all objects whose key begins with prefix, sorted by key.
func (c *Client) List(ctx context.Context, class Class, prefix Key) ([]Object, error) {
	objects, _, err := c.ListWithVersion(ctx, class, prefix)
	return objects, err
}

// ListWithVersion returns all objects whose key begins with prefix, and the
// store version at which to start a watch. With several pages this is the
// version of the first page, so that the watch repeats changes rather than
// misses them. It is 0 if the platform does not report a version.
func (c *Client) ListWithVersion(ctx context.Context, class Class, prefix Key) ([]Object, Version, error) {
	var objects []Object
	var version Version
	var after Key
	var era Era
	for pages := 1; ; pages++ {
		r, err := c.read(ctx, class, c.dialect.ListPath(prefix, after), c.retry.Timeout)
		if err != nil {
			return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
		}
		page, err := c.dialect.DecodePage(prefix, r.body)
		if err != nil {
			return nil, 0, fmt.Errorf("list %q: decode reply: %w", prefix, err)
		}
		if pages == 1 {
			version, era = NewVersion(r.era, uint64(page.Version)), r.era
		}
		if r.era != era {
			return nil, 0, fmt.Errorf("list %q: the store was rewound between two pages: %w", prefix, ErrUnavailable)
		}
		for _, o := range page.Objects {
			o.Version = NewVersion(era, uint64(o.Version))
			objects = append(objects, o)
		}
		if page.Next == "" {
			return objects, version, nil
		}
		if pages >= maxPages || page.Next == after {
			return nil, 0, fmt.Errorf("list %q: no last page after %d pages: %w", prefix, pages, ErrUnavailable)
		}
		after = page.Next
	}
}

// Put writes value if the object's version is expect, and returns the new
// version.
func (c *Client) Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %q: value of %d bytes exceeds the limit of %d", key, len(value), MaxValueBytes)
	}
	if c.isEarlierEra(expect) {
		return 0, fmt.Errorf("put %q: the expected version is of an earlier era: %w", key, ErrConflict)
	}
	method, path, body := c.dialect.PutRequest(key, value, Version(expect.Counter()))
	r, err := c.write(ctx, class, method, path, body, expect)
	if err != nil {
		return 0, fmt.Errorf("put %q: %w", key, err)
	}
	version := c.dialect.DecodePutVersion(r.version, r.body)
	if version == 0 {
		return 0, fmt.Errorf("put %q: reply has no version: %w", key, ErrUncertain)
	}
	return NewVersion(r.era, uint64(version)), nil
}

// Delete deletes the object if its version is expect.
func (c *Client) Delete(ctx context.Context, class Class, key Key, expect Version) error {
	if c.isEarlierEra(expect) {
		return fmt.Errorf("delete %q: the expected version is of an earlier era: %w", key, ErrConflict)
	}
	if _, err := c.write(ctx, class, http.MethodDelete, c.dialect.DeletePath(key, Version(expect.Counter())), nil, expect); err != nil {
		return fmt.Errorf("delete %q: %w", key, err)
	}
	return nil
}

// Watch waits up to wait for changes under prefix that are later than after. It
// returns them with the version up to which they are complete. It returns
// ErrCompacted if after is of an earlier era: its counter value may have been
// assigned again, so that the store would skip changes without noticing.
func (c *Client) Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error) {
	if c.isEarlierEra(after) {
		return nil, 0, fmt.Errorf("watch %q: %w", prefix, ErrCompacted)
	}
	r, err := c.read(ctx, class, c.dialect.WatchPath(prefix, Version(after.Counter()), wait), wait+c.retry.WatchGrace)
	if err != nil {
		return nil, 0, fmt.Errorf("watch %q: %w", prefix, err)
	}
	if after != 0 && r.era != after.Era() {
		return nil, 0, fmt.Errorf("watch %q: %w", prefix, ErrCompacted)
	}
	changes, version, err := c.dialect.DecodeChanges(prefix, r.body)
	if err != nil {
		return nil, 0, fmt.Errorf("watch %q: decode reply: %w", prefix, err)
	}
	for i := range changes {
		changes[i].At = NewVersion(r.era, uint64(changes[i].At))
		changes[i].Object.Version = NewVersion(r.era, uint64(changes[i].Object.Version))
	}
	return changes, NewVersion(r.era, uint64(version)), nil
}

// Instances returns the live and leaving instances.
func (c *Client) Instances(ctx context.Context, class Class) ([]Instance, error) {
	r, err := c.read(ctx, class, "/v1/instances", c.retry.Timeout)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	var reply instancesReply
	if err := json.Unmarshal(r.body, &reply); err != nil {
		return nil, fmt.Errorf("list instances: decode reply: %w", err)
	}
	return reply.Instances, nil
}

// Announce registers this router in the list of instances, or renews its entry.
func (c *Client) Announce(ctx context.Context, class Class, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return fmt.Errorf("announce %q: %w", instance.ID, err)
	}
	path := "/v1/instances/" + url.PathEscape(instance.ID)
	if _, err := c.write(ctx, class, http.MethodPut, path, body, 0); err != nil {
		return fmt.Errorf("announce %q: %w", instance.ID, err)
	}
	return nil
}

// reply is a complete successful response of the platform.
type reply struct {
	era     Era
	version Version
	body    []byte
}

// read sends a GET and retries it with backoff while the platform is
// unavailable.
func (c *Client) read(ctx context.Context, class Class, path string, timeout time.Duration) (reply, error) {
	delay := c.retry.Backoff
	for attempt := 1; ; attempt++ {
		if err := c.budget.AcquireRead(ctx, class); err != nil {
			c.counters[class].refused.Inc(1)
			return reply{}, err
		}
		r, err := c.call(ctx, class, http.MethodGet, path, nil, nil, timeout)
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt >= c.retry.Attempts {
			return r, err
		}
		if !sleep(ctx, jitter(delay)) {
			return r, err
		}
		c.counters[class].retries.Inc(1)
		delay *= 2
	}
}

// write sends a call that changes state. It is never retried, because a retry
// could conflict with the effect of the first attempt.
func (c *Client) write(ctx context.Context, class Class, method, path string, body []byte, expect Version) (reply, error) {
	if err := c.budget.AcquireWrite(ctx, class); err != nil {
		c.counters[class].refused.Inc(1)
		return reply{}, err
	}
	header := http.Header{
		headerIfVersion: {strconv.FormatUint(expect.Counter(), 10)},
		"Content-Type":  {contentType},
	}
	return c.call(ctx, class, method, path, body, header, c.retry.Timeout)
}

func (c *Client) call(ctx context.Context, class Class, method, path string, body []byte, header http.Header, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, fmt.Errorf("request to platform address %q: %w", c.base, err)
	}
	if body == nil {
		request.Body, request.GetBody, request.ContentLength = nil, nil, 0
	} else {
		// Without GetBody the transport cannot resend a write.
		request.GetBody = nil
	}
	for k, v := range header {
		request.Header[k] = v
	}
	m := &c.counters[class]
	m.calls.Inc(1)
	m.sent.Inc(int64(len(body)))
	response, err := c.http.Do(request)
	if err != nil {
		m.failed.Inc(1)
		return reply{}, transportError(method, connected.Load(), err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	m.received.Inc(int64(len(text)))
	if err != nil {
		m.failed.Inc(1)
		return reply{}, transportError(method, true, err)
	}
	era := c.dialect.DecodeEra(response.Header)
	c.recordEra(era)
	r, err := c.parseResponse(method, response, text)
	r.era = era
	return r, err
}

// isEarlierEra reports whether a version is of an earlier era than the latest that
// a reply reported.
func (c *Client) isEarlierEra(v Version) bool {
	era, known := c.Era()
	return known && v != 0 && v.Era() < era
}

// parseResponse maps a complete response to a reply or an error.
func (c *Client) parseResponse(method string, response *http.Response, text []byte) (reply, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		version, _ := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
		return reply{version: Version(version), body: text}, nil
	case http.StatusNotFound:
		return reply{}, ErrNotFound
	case http.StatusGone:
		return reply{}, ErrCompacted
	case http.StatusConflict, http.StatusPreconditionFailed:
		return reply{}, ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return reply{}, fmt.Errorf("platform responded with status %d: %w", response.StatusCode, ErrUnavailable)
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return reply{}, fmt.Errorf("platform rejected the call with status %d: %.200s", response.StatusCode, text)
	default:
		err := fmt.Errorf("platform responded with status %d", response.StatusCode)
		return reply{}, transportError(method, true, err)
	}
}

// transportError classifies the failure of a call without a usable response: a
// write that may have reached the platform has an unknown outcome.
func transportError(method string, sent bool, err error) error {
	if method == http.MethodGet || !sent {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

// jitter returns a random delay between 0.5 and 1.5 times delay, so that clients
// that failed together do not retry together.
func jitter(delay time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(delay))
}

// sleep waits for delay and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newCallCounters(registry metrics.Registry, class Class) callCounters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(fmt.Sprintf("platform.%s.%s", class, name), registry)
	}
	return callCounters{
		calls: counter("calls"), refused: counter("refused"), retries: counter("retries"),
		failed: counter("failed"), sent: counter("sent"), received: counter("received"),
	}
}
