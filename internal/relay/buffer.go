package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
)

const (
	// defaultBufferBytes is the memory for responses if Settings do not limit it.
	defaultBufferBytes = 64 << 20
	// maxResponseBytes is the largest body of a response that is not a stream, if the
	// memory for responses does not limit it further.
	maxResponseBytes = 32 << 20
	// freeBytes is the part of each response that does not count against the memory for
	// responses, so that long ones never make short ones fail.
	freeBytes = 64 << 10
	// maxHeadBytes bounds what an endpoint may send up to the end of a response's head:
	// the head itself, interim responses, and late responses to other requests.
	maxHeadBytes = 256 << 10
)

var (
	errHeadTooLong = errors.New("response head is too long")
	errMemoryInUse = errors.New("memory for responses is in use")
)

// byteBudget bounds the memory that all responses use together. It is safe for
// concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
	total *inlet.Budget // of which this is a part, nil for none
}

// take takes n bytes. It reports false if they are not left.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	if b.total != nil && !b.total.TakeResponse(n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// give gives n bytes back.
func (b *byteBudget) give(n int64) {
	b.used.Add(-n)
	if b.total != nil && n != 0 {
		b.total.TakeResponse(-n)
	}
}

// holding is the memory that one response uses.
type holding struct {
	budget *byteBudget
	held   atomic.Int64 // of the budget
}

// resize sets the number of bytes that the response uses.
func (h *holding) resize(size int64) error {
	want := max(0, size-freeBytes)
	more := want - h.held.Load()
	if more > 0 && !h.budget.take(more) {
		return fmt.Errorf("buffering %d bytes: %w", size, errMemoryInUse)
	}
	if more < 0 {
		h.budget.give(-more)
	}
	h.held.Add(more)
	return nil
}

// release gives all memory of the response back.
func (h *holding) release() { h.budget.give(h.held.Swap(0)) }

// readAll reads a body of at most limit bytes.
func (h *holding) readAll(r io.Reader, limit int64) ([]byte, error) {
	limit = min(limit, h.budget.limit/2)
	var body []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(buffer)
		if int64(len(body)+n) > limit {
			return nil, fmt.Errorf("response body exceeds %d bytes", limit)
		}
		if n > 0 && len(body)+n > cap(body) {
			// Twice the memory is in use while the body is copied.
			if err := h.resize(int64(3 * (len(body) + n))); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), 2*(len(body)+n))
			copy(grown, body)
			body = grown
		}
		body = append(body, buffer[:n]...)
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// boundedConn bounds what is read from a connection between two calls of allow. Only the
// reader of the connection uses it.
type boundedConn struct {
	net.Conn
	left  int64 // negative for no bound
	cause error // if nothing is left
}

// allow allows n more bytes, or any number if n is negative. Beyond them, reads fail with
// cause.
func (c *boundedConn) allow(n int64, cause error) { c.left, c.cause = n, cause }

// Read implements io.Reader.
func (c *boundedConn) Read(b []byte) (int, error) {
	switch {
	case c.left < 0:
		return c.Conn.Read(b)
	case c.left == 0:
		return 0, c.cause
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}
