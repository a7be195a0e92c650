package front

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/flow"
	"github.com/marigoldscale/marigoldscale/internal/inlet"
)

const (
	// bodyWindow is the time in which bodyWindowBytes of a body must arrive, or its end:
	// 1 KB/s, which slow links reach. A stalled body gives its memory back after it.
	bodyWindow = 5 * time.Second
	// bodyWindowBytes is the least part of a body that must arrive in bodyWindow.
	bodyWindowBytes = 5 << 10
	// firstBodyBytes is the memory for the beginning of a body.
	firstBodyBytes = 8 << 10
	// smallBodyBytes is the memory up to which a body counts as that of an ordinary request.
	smallBodyBytes = 32 << 10
	// bodyCopies is how often a body is held beside what was read: its prompt, and the
	// request to an engine. Further copies last for milliseconds.
	bodyCopies = 2
	// elementCost is the memory in bytes that a value of a body takes while it is decoded: a
	// message of 40 bytes in a list that grows by half, or a field with its entry in a map.
	elementCost = 200
	// unreadWait is how long the rest of a refused request's body is read, so that the
	// caller gets the response before the connection closes.
	unreadWait = 500 * time.Millisecond
	// freeAnswerBytes is the part of each answer that is not counted, so that long ones
	// never make short ones fail.
	freeAnswerBytes = 64 << 10
)

// bodyRead is the key in the echo context under which it is recorded that a body was read.
const bodyRead = "body read"

// holding is the memory that a request uses, until its run and the response have ended.
type holding struct {
	account *inlet.Account
	held    atomic.Int64
	users   atomic.Int64
}

// Retain implements flow.Memory.
func (h *holding) Retain() { h.users.Add(1) }

// Release implements flow.Memory.
func (h *holding) Release() {
	if h.users.Add(-1) == 0 {
		h.account.Give(h.held.Swap(0))
	}
}

// take takes n more bytes.
func (h *holding) take(n int64, class inlet.Class) bool {
	if class == inlet.Small && h.held.Load()+n > smallBodyBytes {
		class = inlet.Large
	}
	if !h.account.Take(n, class) {
		return false
	}
	h.held.Add(n)
	return true
}

func (h *holding) give(n int64) {
	h.held.Add(-n)
	h.account.Give(n)
}

// errNoMemory refuses a request for which there is no memory.
func errNoMemory() *flow.Refusal {
	return &flow.Refusal{
		Code: flow.CodeOverloaded, Message: "memory for requests is in use", Ran: flow.RanNo,
		RetryAfter: bodyWindow / 2, // in bodyWindow stalled bodies give theirs back
	}
}

func errBodyTooLong(limit int64) *flow.Refusal {
	return &flow.Refusal{Code: flow.CodeTooLarge, Message: fmt.Sprintf("body exceeds %d bytes", limit), Ran: flow.RanNo}
}

// readBounded reads the body of a request on a connection whose memory is counted. The
// caller releases the holding that it returns.
func (a *API) readBounded(c echo.Context, conn *inlet.Conn) (body []byte, h *holding, err error) {
	h = &holding{account: conn.Account()}
	h.Retain()
	defer func() {
		if err != nil {
			h.Release()
		}
	}()
	conn.Receive(a.now(), true)
	defer func() { conn.Receive(a.now(), false) }()
	control := http.NewResponseController(c.Response().Writer)
	body, err = a.receive(c.Request(), control, h)
	if err != nil {
		return nil, h, err
	}
	_ = control.SetReadDeadline(time.Time{}) // supported by every server connection
	c.Set(bodyRead, true)
	h.give(h.held.Load() - int64(cap(body))) // of smaller buffers that were replaced
	if !h.take(int64(bodyCopies*len(body)+elementCost*inlet.Elements(body)), inlet.Small) {
		return nil, h, errNoMemory()
	}
	return body, h, nil
}

// receive reads a body. It takes memory as the body grows, and fails if too little of it
// arrives in any bodyWindow.
func (a *API) receive(r *http.Request, control *http.ResponseController, h *holding) ([]byte, error) {
	limit := a.limits.BodyBytes
	if r.ContentLength > limit {
		return nil, errBodyTooLong(limit)
	}
	window, arrived := a.now(), 0
	_ = control.SetReadDeadline(window.Add(bodyWindow)) // supported by every server connection
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(firstBodyBytes, 2*int64(cap(data)))
			if r.ContentLength >= 0 {
				size = max(min(size, r.ContentLength+1), int64(cap(data))+1)
			}
			// What it replaces stays counted, since it may not have been collected.
			if !h.take(size, inlet.Small) {
				return nil, errNoMemory()
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		arrived += n
		switch {
		case int64(len(data)) > limit:
			return nil, errBodyTooLong(limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, invalid("body did not come whole: " + err.Error())
		}
		if now := a.now(); arrived >= bodyWindowBytes && now.Sub(window) > bodyWindow/4 { // saves most changes of the timer
			window, arrived = now, 0
			_ = control.SetReadDeadline(window.Add(bodyWindow)) // likewise
		}
	}
}

// boundUnread bounds the time for which the rest of a refused request is read, and makes
// the connection close after the response.
func boundUnread(c echo.Context) {
	if inlet.FromRequest(c.Request()) == nil || c.Request().ContentLength == 0 || c.Get(bodyRead) != nil {
		return
	}
	c.Response().Header().Set("Connection", "close")
	_ = http.NewResponseController(c.Response().Writer).SetReadDeadline(time.Now().Add(unreadWait)) // supported by every server connection
}

// track tells an inlet.Conn of the requests on it.
func track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := inlet.FromRequest(r); conn != nil {
			if late := conn.Begin(r.ContentLength); late || conn.MustClose() {
				w.Header().Set("Connection", "close")
			}
		}
		next.ServeHTTP(w, r)
	})
}
