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
const followerQueueFrames = 64

// maxFrame is the largest frame in bytes: a whole kind of objects.
const maxFrameBytes = 16 << 20

// Source is what a Hub passes on.
type Source interface {
	// Snapshot gives all objects of all kinds.
	Snapshot() Frame
	// Beat gives the frame that is sent when there is no news.
	Heartbeat() Frame
	// Heard takes in a frame from a follower.
	HandleFrame(f Frame)
}

// Hub serves the routers that follow this one.
type Hub struct {
	source    Source
	server    *grpc.Server
	lock      sync.Mutex
	followers map[*follower]struct{}

	updates         uint64 // counts news; guarded by lock
	snapshotLock    sync.Mutex
	snapshot        encodedFrame
	snapshotUpdates uint64 // the version that firstText holds
	snapshotTime    time.Time
}

type follower struct{ frames chan encodedFrame }

// NewHub makes a Hub that nobody follows.
func NewHub(source Source) *Hub {
	h := &Hub{source: source, followers: map[*follower]struct{}{}}
	h.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxFrameBytes), grpc.MaxSendMsgSize(maxFrameBytes))
	h.server.RegisterService(&serviceDesc, h)
	return h
}

// description is the service as generated code would have it.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: "marigoldscale.Feed",
	HandlerType: (*any)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Follow", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error { return server.(*Hub).serveFollower(stream) },
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
func (h *Hub) HasFollowers() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.followers) > 0
}

// Publish sends a frame to all followers. One that does not keep up is cut off.
func (h *Hub) Publish(f Frame) error {
	h.lock.Lock()
	if len(f.Updates) > 0 {
		h.updates++
	}
	followed := len(h.followers) > 0
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
	for x := range h.followers {
		select {
		case x.frames <- text:
		default:
			delete(h.followers, x)
			close(x.frames)
		}
	}
	return nil
}

// firstKept is how long the first frame is used again.
const snapshotReuse = 250 * time.Millisecond

func (h *Hub) updateCount() uint64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.updates
}

// Beat sends the frame for a moment without news.
func (h *Hub) Heartbeat() error {
	if !h.HasFollowers() {
		return nil
	}
	return h.Publish(h.source.Heartbeat())
}

// first gives the frame with which a follower begins. Followers that come
// together get the same one; what is newer follows.
func (h *Hub) initialFrame(now time.Time) (encodedFrame, error) {
	h.snapshotLock.Lock()
	defer h.snapshotLock.Unlock()
	version := h.updateCount()
	if h.snapshotUpdates == version && now.Sub(h.snapshotTime) < snapshotReuse {
		return h.snapshot, nil
	}
	text, err := encode(h.source.Snapshot())
	if err != nil {
		return nil, err
	}
	h.snapshot, h.snapshotUpdates, h.snapshotTime = text, version, now
	return text, nil
}

func (h *Hub) serveFollower(stream grpc.ServerStream) error {
	x := &follower{frames: make(chan encodedFrame, followerQueueFrames)}
	h.lock.Lock()
	h.followers[x] = struct{}{}
	h.lock.Unlock()
	defer h.removeFollower(x)
	go func() {
		for {
			var f Frame
			if stream.RecvMsg(&f) != nil {
				return // the stream's end is seen by the sender
			}
			h.source.HandleFrame(f)
		}
	}()
	first, err := h.initialFrame(time.Now())
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

func (h *Hub) removeFollower(x *follower) {
	h.lock.Lock()
	defer h.lock.Unlock()
	delete(h.followers, x)
}
