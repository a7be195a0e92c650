package feed

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// redialPause is how long a connection may take to come about before another one is
	// started beside it. A machine that has no power yet answers nothing, and the kernel
	// sends its first packet again only after a second.
	redialPause = 200 * time.Millisecond
	// maxDials is the number of connections that are started, as many as linkOpenTimeout
	// of package syncer leaves time for.
	maxDials = 8
)

// DialAgain returns the first connection to an address that comes about of several that are started one
// after the other, pause apart. It fails once all that were started have failed. The load
// that it addresses: all routers lose power at once, and those that are back first wait for
// a router that is not.
func DialAgain(ctx context.Context, dial Dialer, address string, pause time.Duration) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // a connection that has come about is not affected
	results := make(chan result, maxDials)
	started, pending := 0, 0
	start := func() {
		started++
		pending++
		go func() {
			conn, err := dial(ctx, address)
			results <- result{conn, err}
		}()
	}
	defer func() {
		go func(n int) {
			for range n {
				if r := <-results; r.conn != nil {
					_ = r.conn.Close() // came too late
				}
			}
		}(pending)
	}()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	start()
	var errs []error
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			if started < maxDials {
				start()
			}
		case r := <-results:
			pending--
			if r.err == nil {
				return r.conn, nil
			}
			errs = append(errs, r.err)
			if pending == 0 {
				return nil, errors.Join(errs...)
			}
		}
	}
}
