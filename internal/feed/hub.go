package feed

import (
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// queueFrames is how many frames wait for a slow follower before it is cut off
// to begin anew.
const queueFrames = 64

// maxFrame is the largest frame in bytes: a whole kind of objects.
const maxFrame = 16 << 20

// Source is what a Hub passes on.
type Source interface {
	// Snapshot gives all objects of all kinds.
	Snapshot() Frame
	// Beat gives the frame that is sent when there is no news.
	Beat() Frame
	// Heard takes in a frame from a follower.
	Heard(f Frame)
}

// Hub serves the routers that follow this one.
type Hub struct {
	source Source
	server *grpc.Server
	lock   sync.Mutex
	open   map[*follower]struct{}

	version   uint64 // counts news; guarded by lock
	firstLock sync.Mutex
	firstText encoded
	firstOf   uint64 // the version that firstText holds
	firstAt   time.Time
}

type follower struct{ frames chan encoded }

// NewHub makes a Hub that nobody follows.
func NewHub(source Source) *Hub {
	h := &Hub{source: source, open: map[*follower]struct{}{}}
	h.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxFrame), grpc.MaxSendMsgSize(maxFrame))
	h.server.RegisterService(&description, h)
	return h
}

// description is the service as generated code would have it.
var description = grpc.ServiceDesc{
	ServiceName: "marigoldscale.Feed",
	HandlerType: (*any)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Follow", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error { return server.(*Hub).serve(stream) },
	}},
}

const followMethod = "/marigoldscale.Feed/Follow"

// Serve answers followers until Stop.
func (h *Hub) Serve(l net.Listener) error {
	if err := h.server.Serve(l); err != nil {
		return fmt.Errorf("serving the feed: %w", err)
	}
	return nil
}

// Stop ends all streams.
func (h *Hub) Stop() { h.server.Stop() }

// Followed tells whether any router follows this one.
func (h *Hub) Followed() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.open) > 0
}

// Publish sends a frame to all followers. One that does not keep up is cut off.
func (h *Hub) Publish(f Frame) error {
	h.lock.Lock()
	if len(f.News) > 0 {
		h.version++
	}
	followed := len(h.open) > 0
	h.lock.Unlock()
	if !followed {
		return nil
	}
	text, err := encode(f)
	if err != nil {
		return err
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	for x := range h.open {
		select {
		case x.frames <- text:
		default:
			delete(h.open, x)
			close(x.frames)
		}
	}
	return nil
}

// firstKept is how long the first frame is used again.
const firstKept = 250 * time.Millisecond

func (h *Hub) newest() uint64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.version
}

// Beat sends the frame for a moment without news.
func (h *Hub) Beat() error {
	if !h.Followed() {
		return nil
	}
	return h.Publish(h.source.Beat())
}

// first gives the frame with which a follower begins. Followers that come
// together get the same one; what is newer follows.
func (h *Hub) first(now time.Time) (encoded, error) {
	h.firstLock.Lock()
	defer h.firstLock.Unlock()
	version := h.newest()
	if h.firstOf == version && now.Sub(h.firstAt) < firstKept {
		return h.firstText, nil
	}
	text, err := encode(h.source.Snapshot())
	if err != nil {
		return nil, err
	}
	h.firstText, h.firstOf, h.firstAt = text, version, now
	return text, nil
}

func (h *Hub) serve(stream grpc.ServerStream) error {
	x := &follower{frames: make(chan encoded, queueFrames)}
	h.lock.Lock()
	h.open[x] = struct{}{}
	h.lock.Unlock()
	defer h.leave(x)
	go func() {
		for {
			var f Frame
			if stream.RecvMsg(&f) != nil {
				return // the stream's end is seen by the sender
			}
			h.source.Heard(f)
		}
	}()
	first, err := h.first(time.Now())
	if err != nil {
		return err
	}
	if err := stream.SendMsg(first); err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case f, ok := <-x.frames:
			if !ok {
				return status.Error(codes.ResourceExhausted, "follower is too slow; connect again")
			}
			if err := stream.SendMsg(f); err != nil {
				return err
			}
		}
	}
}

func (h *Hub) leave(x *follower) {
	h.lock.Lock()
	defer h.lock.Unlock()
	delete(h.open, x)
}
