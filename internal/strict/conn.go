// Package strict detects responses that are broken but look sound to net/http.
package strict

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a client's TCP connection on which a Read returns io.EOF only after the peer has
// closed its side. It is safe for concurrent use.
//
// Linux reports the loss of a connection to one call only. If that is a Write of the
// request, Read returns io.EOF after the data that came before, so that a response body
// that ends with the connection looks complete.
type Conn struct {
	net.Conn // not *net.TCPConn, whose ReadFrom would bypass Write
	tcp      *net.TCPConn
	writing  sync.Mutex            // held by Write
	lost     atomic.Pointer[error] // with which the connection was lost, nil if it was not
}

// NewConn returns c as a Conn if it is a TCP connection, and c itself otherwise.
func NewConn(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &Conn{Conn: c, tcp: tcp}
}

// Read implements net.Conn. Its error is io.EOF if the peer has closed its side.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.tcp.Read(b)
	c.noteLoss(err)
	if err != io.EOF || !c.ended() {
		return n, err
	}
	c.writing.Lock() // waits for a Write, which returns at once if the connection has ended
	defer c.writing.Unlock()
	if lost := c.lost.Load(); lost != nil {
		return n, fmt.Errorf("connection was lost before the end of the data: %w", *lost)
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(b)
	c.noteLoss(err)
	return n, err
}

// CloseWrite closes the writing side of the connection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// ended reports whether both sides of the connection have ended, be it by a reset, a
// timeout or two orderly closes.
func (c *Conn) ended() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true // closed by this process
	}
	ended := true
	// Control fails on a connection that this process has closed.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return ended
}

// noteLoss records err if it reports the loss of the connection. EPIPE does not: Linux
// returns it for a reset after the peer has closed its side, when nothing is missing, and to
// writes after the one that got the loss.
func (c *Conn) noteLoss(err error) {
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.lost.CompareAndSwap(nil, &err)
	}
}
