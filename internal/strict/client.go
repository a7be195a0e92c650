package strict

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// NewClient returns a copy of c whose calls fail if a response has a malformed head, or if
// its connection is lost before its end. If the transport of c is an http.Transport, or nil,
// the copy has a clone of it with connections of its own; with other transports only heads
// are checked. A client that NewClient has returned is returned unchanged.
func NewClient(c *http.Client) *http.Client {
	if _, ok := c.Transport.(*transport); ok {
		return c
	}
	checked := *c
	checked.Transport = newTransport(c.Transport)
	return &checked
}

// transport checks the responses of another transport.
type transport struct{ base http.RoundTripper }

func newTransport(base http.RoundTripper) *transport {
	if base == nil {
		base = http.DefaultTransport
	}
	if t, ok := base.(*http.Transport); ok {
		t = t.Clone()
		dial := t.DialContext
		if dial == nil {
			dial = new(net.Dialer).DialContext // what net/http uses by default
		}
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err // net/http adds its context
			}
			return NewConn(c), nil
		}
		base = t
	}
	return &transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err // http.Client adds its context
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close() // nothing of it is used
		return nil, fmt.Errorf("checking the response: %w", err)
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the client.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
