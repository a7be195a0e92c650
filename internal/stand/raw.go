package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// RawServer is a server that writes to its connections directly, so that it can send
// responses that no HTTP server sends.
type RawServer struct {
	listener net.Listener
	lock     sync.Mutex
	conns    map[net.Conn]struct{} // guarded by lock; nil once closed
}

// NewRawServer starts a server on a loopback address. It calls serve for each connection,
// and closes the connection when serve returns.
func NewRawServer(serve func(c *net.TCPConn)) (*RawServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on a loopback address: %w", err)
	}
	s := &RawServer{listener: l, conns: map[net.Conn]struct{}{}}
	go s.accept(serve)
	return s, nil
}

// Address returns the host and port of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *RawServer) Close() error {
	err := s.listener.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.conns {
		_ = c.Close() // nothing more is sent on it
	}
	s.conns = nil
	if err != nil {
		return fmt.Errorf("close the listener: %w", err)
	}
	return nil
}

func (s *RawServer) accept(serve func(c *net.TCPConn)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		if !s.add(c) {
			_ = c.Close() // carries nothing yet
			return
		}
		go func() {
			defer s.remove(c)
			serve(c.(*net.TCPConn))
		}()
	}
}

// add records an open connection. It reports false if the server is closed.
func (s *RawServer) add(c net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *RawServer) remove(c net.Conn) {
	_ = c.Close() // serve may have closed it
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.conns, c)
}

// OnRequest returns a function for NewRawServer that reads the head of one request and calls
// answer, with the body unread.
func OnRequest(answer func(c *net.TCPConn, r *http.Request)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil { // otherwise the client has closed
			answer(c, r)
		}
	}
}

// Reply returns a function for NewRawServer that answers one request with text, and keeps
// the connection open until the client closes it.
func Reply(text string) func(c *net.TCPConn) {
	return OnRequest(func(c *net.TCPConn, _ *http.Request) {
		if _, err := io.WriteString(c, text); err == nil {
			_, _ = io.Copy(io.Discard, c) // ends with the connection
		}
	})
}

// ReplyAndReset returns a function for NewRawServer that answers one request with text and
// resets the connection, with the body of the request unread.
func ReplyAndReset(text string) func(c *net.TCPConn) {
	return OnRequest(func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, text) // fails only if the client has closed the connection
		Reset(c)
	})
}

// Reset closes a connection in a way that resets it at its peer.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a connection that has ended
	_ = c.Close()      // likewise
}
