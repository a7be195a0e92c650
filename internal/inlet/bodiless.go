package inlet

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Bodiless returns a handler for requests without a body, such as probes. If one has a
// body, the connection closes after the response without waiting for the body.
func Bodiless(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromRequest(r)
		if c != nil {
			c.Begin(r.ContentLength)
		}
		if r.ContentLength != 0 {
			leaveUnread(w)
		}
		next.ServeHTTP(w, r)
		if c != nil && r.ContentLength != 0 {
			c.spend(w)
		}
	})
}

// ShortBodies returns a handler for requests with bodies of up to limit bytes. To read
// more fails with an *http.MaxBytesError, at once if the request tells its length. The
// connection then closes after the response without waiting for the rest.
func ShortBodies(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromRequest(r)
		if c != nil {
			c.Begin(r.ContentLength)
		}
		body := &shortBody{ReadCloser: http.MaxBytesReader(w, r.Body, limit), conn: c, limit: limit, tooLong: r.ContentLength > limit}
		if body.tooLong {
			leaveUnread(w)
		}
		r.Body = body
		next.ServeHTTP(w, r)
		switch {
		case c == nil || r.ContentLength == 0 || body.ended:
		case body.tooLong:
			c.spend(w)
		default:
			c.Receive(c.listener.clock(), true) // net/http reads the rest
		}
	})
}

// shortBody is a body that fails once it is known to be too long.
type shortBody struct {
	io.ReadCloser
	conn           *Conn // nil if unknown
	limit          int64
	tooLong, ended bool
}

// Read implements io.Reader.
func (s *shortBody) Read(b []byte) (int, error) {
	if s.tooLong {
		return 0, &http.MaxBytesError{Limit: s.limit}
	}
	if s.conn != nil {
		s.conn.Receive(s.conn.listener.clock(), true)
		defer func() { s.conn.Receive(s.conn.listener.clock(), false) }()
	}
	n, err := s.ReadCloser.Read(b)
	var exceeded *http.MaxBytesError
	s.tooLong, s.ended = errors.As(err, &exceeded), err == io.EOF
	return n, err // io.EOF must stay as it is
}

// leaveUnread makes the connection close after the response without waiting for the body.
func leaveUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // supported by every server connection
}

// spend writes the last response of the connection, and records that. net/http waits for
// half a second before it closes such a connection.
func (c *Conn) spend(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // supported by every server connection
	c.lock.Lock()
	defer c.lock.Unlock()
	c.spent = true
}
