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
)

const (
	// maxReply is the largest reply that the client reads, in bytes.
	maxReply = 64 << 20
	// maxPages bounds the pages of one list, against a reply that never ends.
	maxPages = 1000
	// watchGrace is how long a reply to a watch may be late.
	watchGrace    = 2 * time.Second
	headerVersion = "X-Version"
	// contentType is that of every body which the router writes.
	contentType     = "application/json"
	headerIfVersion = "If-Version"
)

// Client speaks the platform's HTTP protocol. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	budget  *Budget
	retry   Retry
	dialect Dialect
	meter   [classCount]meter
}

// Retry bounds how reads are tried again.
type Retry struct {
	Attempts int           // tries of one read, the first included
	Pause    time.Duration // mean pause before the second try; it doubles
	Timeout  time.Duration // of one try
	Grace    time.Duration // by which the reply to a watch may be late
}

// DefaultRetry suits a platform that answers in milliseconds.
func DefaultRetry() Retry {
	return Retry{Attempts: 3, Pause: 20 * time.Millisecond, Timeout: 2 * time.Second, Grace: watchGrace}
}

// meter counts the calls of one class.
type meter struct {
	calls    metrics.Counter
	refused  metrics.Counter
	retries  metrics.Counter
	failed   metrics.Counter
	sent     metrics.Counter
	received metrics.Counter
}

var _ Platform = (*Client)(nil)

// NewClient makes a client of the platform at base, as in http://host:port.
// It counts calls and bytes by class in registry.
func NewClient(base string, h *http.Client, b *Budget, r Retry, registry metrics.Registry) *Client {
	return NewDialect(base, h, b, r, registry, plain{})
}

// NewDialect makes a client of a platform that spells its calls as dialect
// does.
func NewDialect(base string, h *http.Client, b *Budget, r Retry, registry metrics.Registry, dialect Dialect) *Client {
	c := &Client{base: base, http: h, budget: b, retry: r, dialect: dialect}
	for i := range c.meter {
		c.meter[i] = newMeter(registry, Class(i))
	}
	return c
}

// Get reads an object, or fails with ErrAbsent.
func (c *Client) Get(ctx context.Context, class Class, key Key) (Object, error) {
	r, err := c.read(ctx, class, c.dialect.Get(key), c.retry.Timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %q: %w", key, err)
	}
	o, err := c.dialect.Object(key, r.version, r.body)
	if err != nil {
		return Object{}, fmt.Errorf("get %q: %w", key, err)
	}
	return o, nil
}

// List reads all objects whose key begins with prefix, sorted by key.
func (c *Client) List(ctx context.Context, class Class, prefix Key) ([]Object, error) {
	objects, _, err := c.ListAt(ctx, class, prefix)
	return objects, err
}

// ListAt reads all objects whose key begins with prefix, with the version of
// the store from which a watch goes on. Of several pages it is the first
// page's, so that the watch repeats changes rather than misses them. It is 0
// for a platform that does not tell.
func (c *Client) ListAt(ctx context.Context, class Class, prefix Key) ([]Object, Version, error) {
	var objects []Object
	var upto Version
	var after Key
	for pages := 1; ; pages++ {
		r, err := c.read(ctx, class, c.dialect.List(prefix, after), c.retry.Timeout)
		if err != nil {
			return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
		}
		page, err := c.dialect.Page(prefix, r.body)
		if err != nil {
			return nil, 0, fmt.Errorf("list %q: reply is not valid: %w", prefix, err)
		}
		objects = append(objects, page.Objects...)
		if pages == 1 {
			upto = page.Upto
		}
		if page.Next == "" {
			return objects, upto, nil
		}
		if pages >= maxPages || page.Next == after {
			return nil, 0, fmt.Errorf("list %q: reply of page %d names no end: %w", prefix, pages, ErrUnavailable)
		}
		after = page.Next
	}
}

// Put writes value if the object's version is expect.
func (c *Client) Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("put %q: value of %d bytes is over the limit of %d", key, len(value), MaxValue)
	}
	method, path, body := c.dialect.Put(key, value, expect)
	r, err := c.write(ctx, class, method, path, body, expect)
	if err != nil {
		return 0, fmt.Errorf("put %q: %w", key, err)
	}
	version := c.dialect.Written(r.version, r.body)
	if version == 0 {
		return 0, fmt.Errorf("put %q: reply names no version: %w", key, ErrUncertain)
	}
	return version, nil
}

// Delete removes the object if its version is expect.
func (c *Client) Delete(ctx context.Context, class Class, key Key, expect Version) error {
	if _, err := c.write(ctx, class, http.MethodDelete, c.dialect.Delete(key, expect), nil, expect); err != nil {
		return fmt.Errorf("delete %q: %w", key, err)
	}
	return nil
}

// Watch waits up to wait for changes under prefix later than after.
func (c *Client) Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error) {
	r, err := c.read(ctx, class, c.dialect.Watch(prefix, after, wait), wait+c.retry.Grace)
	if err != nil {
		return nil, 0, fmt.Errorf("watch %q: %w", prefix, err)
	}
	changes, upto, err := c.dialect.Changes(prefix, r.body)
	if err != nil {
		return nil, 0, fmt.Errorf("watch %q: reply is not valid: %w", prefix, err)
	}
	return changes, upto, nil
}

// Instances lists the live and leaving instances.
func (c *Client) Instances(ctx context.Context, class Class) ([]Instance, error) {
	r, err := c.read(ctx, class, "/v1/instances", c.retry.Timeout)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	var reply wireInstances
	if err := json.Unmarshal(r.body, &reply); err != nil {
		return nil, fmt.Errorf("list instances: reply is not valid: %w", err)
	}
	return reply.Instances, nil
}

// Announce enters this router in the list of instances, or renews it.
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

// reply is a platform's whole answer.
type reply struct {
	version Version
	body    []byte
}

// read makes a call that has no effect, and makes it again while that helps.
func (c *Client) read(ctx context.Context, class Class, path string, timeout time.Duration) (reply, error) {
	pause := c.retry.Pause
	for attempt := 1; ; attempt++ {
		if err := c.budget.Read(ctx, class); err != nil {
			c.meter[class].refused.Inc(1)
			return reply{}, err
		}
		r, err := c.call(ctx, class, http.MethodGet, path, nil, nil, timeout)
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt >= c.retry.Attempts {
			return r, err
		}
		if !sleep(ctx, jitter(pause)) {
			return r, err
		}
		c.meter[class].retries.Inc(1)
		pause *= 2
	}
}

// write makes a call that has an effect. It makes it once only: a second try
// could meet the first one's effect.
func (c *Client) write(ctx context.Context, class Class, method, path string, body []byte, expect Version) (reply, error) {
	if err := c.budget.Write(ctx, class); err != nil {
		c.meter[class].refused.Inc(1)
		return reply{}, err
	}
	header := http.Header{
		headerIfVersion: {strconv.FormatUint(uint64(expect), 10)},
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
		return reply{}, fmt.Errorf("platform address %q: %w", c.base, err)
	}
	if body == nil {
		request.Body, request.GetBody, request.ContentLength = nil, nil, 0
	} else {
		// Without GetBody the transport never sends a write a second time.
		request.GetBody = nil
	}
	for k, v := range header {
		request.Header[k] = v
	}
	m := &c.meter[class]
	m.calls.Inc(1)
	m.sent.Inc(int64(len(body)))
	response, err := c.http.Do(request)
	if err != nil {
		m.failed.Inc(1)
		return reply{}, broken(method, connected.Load(), err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	m.received.Inc(int64(len(text)))
	if err != nil {
		m.failed.Inc(1)
		return reply{}, broken(method, true, err)
	}
	return c.judge(method, response, text)
}

// judge turns a whole response into a reply or an error.
func (c *Client) judge(method string, response *http.Response, text []byte) (reply, error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		version, _ := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
		return reply{version: Version(version), body: text}, nil
	case http.StatusNotFound:
		return reply{}, ErrAbsent
	case http.StatusGone:
		return reply{}, ErrCompacted
	case http.StatusConflict, http.StatusPreconditionFailed:
		return reply{}, ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return reply{}, fmt.Errorf("platform answers %d: %w", response.StatusCode, ErrUnavailable)
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return reply{}, fmt.Errorf("platform rejects the call with %d: %.200s", response.StatusCode, text)
	default:
		err := fmt.Errorf("platform answers %d", response.StatusCode)
		return reply{}, broken(method, true, err)
	}
}

// broken names the failure of a call that got no whole answer.
func broken(method string, sent bool, err error) error {
	if method == http.MethodGet || !sent {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

// jitter spreads a pause from half to one and a half of its length, so that
// clients that failed together don't return together.
func jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// sleep waits, and tells whether ctx left it time to.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newMeter(registry metrics.Registry, class Class) meter {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(fmt.Sprintf("platform.%s.%s", class, name), registry)
	}
	return meter{
		calls: counter("calls"), refused: counter("refused"), retries: counter("retries"),
		failed: counter("failed"), sent: counter("sent"), received: counter("received"),
	}
}
