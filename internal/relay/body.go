package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/internal/paths"
)

const (
	// bodyWindow is the time in which bodyWindowBytes of a body must arrive, or its end:
	// 1 KB/s, which slow links reach. A stalled body gives its memory back after it.
	bodyWindow = 5 * time.Second
	// bodyWindowBytes is the least part of a body that must arrive in bodyWindow.
	bodyWindowBytes = 5 << 10
	// shortBodyBytes is the declared length up to which a body gets memory of its own.
	// Others are held in blocks, which are larger than most bodies.
	shortBodyBytes = 4 << 10
	// smallBodyBytes is the memory up to which a body counts as that of an ordinary
	// request.
	smallBodyBytes = 32 << 10
	// yieldBytes is the part of a body after which other requests get their turn. The
	// runtime would only interrupt the reader of a body that comes fast after 10 ms; 64 KB
	// take some 50 us.
	yieldBytes = 64 << 10
	// unreadWait is how long the rest of a refused request's body is read, so that the
	// caller gets the response before the connection closes.
	unreadWait = 500 * time.Millisecond
	// maxUnreadBytes is the longest body that is read to its end after its request was
	// refused, so that the connection can be reused.
	maxUnreadBytes = 64 << 10
	// memoryRetryAfter is the retry delay sent to callers whose request does not fit into
	// the memory: half of bodyWindow, in which stalled bodies give theirs back.
	memoryRetryAfter = bodyWindow / 2
)

var (
	errBodyTooLong  = errors.New("request body is too long")
	errNoBodyMemory = errors.New("memory for requests is in use")
)

// requestBody is the body of a request and the memory that it uses, until the last
// exchange that may send it has ended. A nil requestBody is empty.
type requestBody struct {
	account *inlet.Account // nil for no bound
	blocks  *inlet.Blocks
	parts   [][]byte // all but the last are full
	size    int
	held    int64 // of the account
	users   atomic.Int64
}

// len returns the length of the body.
func (b *requestBody) len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// data returns the body in parts, which are valid until the body is released.
func (b *requestBody) data() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// room returns memory for the next bytes of a body of a declared length, negative if it
// is not known. It fails if there is none left.
func (b *requestBody) room(declared int64) ([]byte, error) {
	if n := len(b.parts); n > 0 {
		if last := b.parts[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	short := declared >= 0 && declared <= shortBodyBytes && len(b.parts) == 0
	size := int64(inlet.BlockBytes)
	if short {
		size = max(declared, 1)
	}
	class := inlet.Small
	if b.held+size > smallBodyBytes {
		class = inlet.Large
	}
	if b.account != nil && !b.account.Take(size, class) {
		return nil, errNoBodyMemory
	}
	b.held += size
	var part []byte
	if short {
		part = make([]byte, size)
	} else {
		part = b.blocks.Get()
	}
	b.parts = append(b.parts, part[:0])
	return b.room(declared)
}

// extend adds n bytes that were read into the memory that room returned last.
func (b *requestBody) extend(n int) {
	last := &b.parts[len(b.parts)-1]
	*last = (*last)[:len(*last)+n]
	b.size += n
}

func (b *requestBody) retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// release gives the memory back once all users have released it.
func (b *requestBody) release() {
	if b == nil || b.users.Add(-1) != 0 {
		return
	}
	for _, x := range b.parts {
		if cap(x) == inlet.BlockBytes {
			b.blocks.Put(x[:cap(x)])
		}
	}
	b.parts = nil
	if b.account != nil {
		b.account.Give(b.held)
	}
}

// readBody reads the request body. If it cannot, it refuses the request and
// returns false.
func (c *call) readBody(limits paths.Limits) bool {
	if c.r.ContentLength == 0 {
		return true
	}
	body := &requestBody{blocks: &c.server.blocks}
	body.retain()
	if c.conn != nil {
		body.account = c.conn.Account()
		c.conn.Receive(c.server.clock(), true)
	}
	err := c.receive(body, limits.MaxBodyBytes)
	if c.conn != nil {
		c.conn.Receive(c.server.clock(), false)
	}
	if err == nil {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{}) // supported by every server connection
		c.body = body
		return true
	}
	body.release()
	c.broken = true
	switch {
	case errors.Is(err, errBodyTooLong):
		c.refuse(http.StatusRequestEntityTooLarge, 0, errBodyTooLong.Error())
	case errors.Is(err, errNoBodyMemory):
		c.refuse(http.StatusServiceUnavailable, memoryRetryAfter, errNoBodyMemory.Error())
	default:
		c.refuse(http.StatusRequestTimeout, 0, "request body did not come whole: "+err.Error())
	}
	return false
}

// receive reads a body of at most limit bytes, 0 for any. It takes memory as the body
// grows, and fails if too little of it arrives in any bodyWindow.
func (c *call) receive(body *requestBody, limit int) error {
	declared := c.r.ContentLength
	if limit > 0 && declared > int64(limit) {
		return errBodyTooLong
	}
	control := http.NewResponseController(c.w)
	due := c.deadline(c.route)
	window, arrived, yielded := c.arrived, 0, 0
	_ = control.SetReadDeadline(earlier(due, window.Add(bodyWindow))) // supported by every server connection
	for {
		room, err := body.room(declared)
		if err != nil {
			return err
		}
		n, err := c.r.Body.Read(room)
		body.extend(n)
		arrived += n
		if body.size-yielded >= yieldBytes {
			yielded = body.size
			runtime.Gosched()
		}
		switch {
		case limit > 0 && body.size > limit:
			return errBodyTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("%d bytes came: %w", body.size, err)
		}
		if arrived < bodyWindowBytes {
			continue
		}
		if now := c.server.clock(); now.Sub(window) > bodyWindow/4 { // saves most changes of the timer
			window, arrived = now, 0
			_ = control.SetReadDeadline(earlier(due, window.Add(bodyWindow))) // likewise
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// boundUnread bounds the time for which the rest of a refused request is read. It makes
// the connection close if the rest is long, or has failed to come.
func (c *call) boundUnread() {
	if c.r.ContentLength == 0 || c.body != nil {
		return
	}
	if c.broken || c.r.ContentLength < 0 || c.r.ContentLength > maxUnreadBytes {
		c.w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(c.server.clock().Add(unreadWait)) // supported by every server connection
}
