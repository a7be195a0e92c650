package feed

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marigoldscale/marigoldscale/internal/inlet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// followerQueueFrames is the number of frames queued for a slow follower before
// it is disconnected and has to reconnect.
const followerQueueFrames = 64

// maxFrameBytes is the largest frame, which holds all objects of a kind.
const maxFrameBytes = 16 << 20

const (
	// maxReportBytes is the largest frame of a follower, as sent and as text. The session
	// pins of a fleet are the longest part, 50 bytes each: 80,000 of them fit.
	maxReportBytes = 4 << 20
	// reportElementCost is the memory in bytes that a value in a frame takes beside its
	// text while it is decoded: a raw value of 24 bytes in a list that grows by half.
	reportElementCost = 64
	// maxFollowerCalls is the number of calls on a connection. A router opens one.
	maxFollowerCalls = 4
	// sendTimeout bounds the time for a follower to take a frame. It follows another router
	// after a second without one, and its queue is full after some 16 s.
	sendTimeout = 10 * time.Second
)

// Source provides the frames that a Hub sends and handles those it receives.
type Source interface {
	// Snapshot returns a frame with all objects of all kinds.
	Snapshot() Frame
	// Backlog returns a frame with what was told lately and no snapshot holds, for a new
	// follower. It reports false if there is nothing.
	Backlog() (Frame, bool)
	// Heartbeat returns the frame that is sent when there is no update.
	Heartbeat() Frame
	// HandleFrame applies a frame received from a follower.
	HandleFrame(f Frame)
}

// Hub streams frames to the routers that follow this one.
type Hub struct {
	source    Source
	server    *grpc.Server
	rpc       inlet.RPC
	decoding  sync.Mutex // held while a frame of a follower is decoded
	lock      sync.Mutex
	followers map[*follower]struct{}

	changes         uint64 // frames published so far that tell what a snapshot holds; guarded by lock
	snapshotLock    sync.Mutex
	snapshot        encodedFrame
	snapshotChanges uint64 // value of changes when snapshot was encoded
	snapshotTime    time.Time
}

type follower struct{ frames chan encodedFrame }

// NewHub returns a Hub without followers.
func NewHub(source Source) *Hub {
	h := &Hub{source: source, followers: map[*follower]struct{}{}}
	h.server = grpc.NewServer(append(h.rpc.Options(maxFollowerCalls), grpc.MaxRecvMsgSize(maxReportBytes), grpc.MaxSendMsgSize(maxFrameBytes))...)
	h.server.RegisterService(&serviceDesc, h)
	return h
}

// serviceDesc describes the gRPC service, in place of generated code.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: "marigoldscale.Feed",
	HandlerType: (*any)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Follow", ServerStreams: true, ClientStreams: true,
		Handler: func(server any, stream grpc.ServerStream) error { return server.(*Hub).serveFollower(stream) },
	}},
}

const followMethod = "/marigoldscale.Feed/Follow"

// Serve accepts followers on l until Stop is called, without a bound on their number.
func (h *Hub) Serve(l net.Listener) error { return h.ServeBounded(l, inlet.Settings{}) }

// ServeBounded accepts followers on l within bounds until Stop is called.
func (h *Hub) ServeBounded(l net.Listener, s inlet.Settings) error {
	if err := h.server.Serve(h.rpc.Listen(l, s, time.Now)); err != nil {
		return fmt.Errorf("serving followers: %w", err)
	}
	return nil
}

// Stop ends all streams.
func (h *Hub) Stop() { h.server.Stop() }

// HasFollowers reports whether any router follows this one.
func (h *Hub) HasFollowers() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.followers) > 0
}

// Publish queues a frame for all followers without blocking. It disconnects a
// follower whose queue is full.
func (h *Hub) Publish(f Frame) error {
	h.lock.Lock()
	if f.changesSnapshot() {
		h.changes++
	}
	followed := len(h.followers) > 0
	h.lock.Unlock()
	if !followed {
		return nil
	}
	encoded, err := encode(f)
	if err != nil {
		return err
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	for x := range h.followers {
		select {
		case x.frames <- encoded:
		default:
			delete(h.followers, x)
			close(x.frames)
		}
	}
	return nil
}

// snapshotReuse is how long an encoded snapshot is sent to further followers.
const snapshotReuse = 250 * time.Millisecond

func (h *Hub) changeCount() uint64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.changes
}

// Heartbeat sends the source's heartbeat frame to all followers.
func (h *Hub) Heartbeat() error {
	if !h.HasFollowers() {
		return nil
	}
	return h.Publish(h.source.Heartbeat())
}

// initialFrame returns the first frame for a new follower. Followers that
// connect at about the same time share an encoded snapshot while nothing has been
// told since; later changes reach them through their queues.
func (h *Hub) initialFrame(now time.Time) (encodedFrame, error) {
	h.snapshotLock.Lock()
	defer h.snapshotLock.Unlock()
	changes := h.changeCount()
	if h.snapshotChanges == changes && now.Sub(h.snapshotTime) < snapshotReuse {
		return h.snapshot, nil
	}
	encoded, err := encode(h.source.Snapshot())
	if err != nil {
		return nil, err
	}
	h.snapshot, h.snapshotChanges, h.snapshotTime = encoded, changes, now
	return encoded, nil
}

func (h *Hub) serveFollower(stream grpc.ServerStream) error {
	x := &follower{frames: make(chan encodedFrame, followerQueueFrames)}
	h.lock.Lock()
	h.followers[x] = struct{}{}
	h.lock.Unlock()
	defer h.removeFollower(x)
	conn := h.rpc.Conn(stream.Context())
	failed := make(chan error, 1)
	go func() { failed <- h.receive(stream, conn) }()
	send := func(f encodedFrame) error {
		if conn != nil {
			timer := time.AfterFunc(sendTimeout, func() { _ = conn.Close() }) // ends SendMsg
			defer timer.Stop()
		}
		return stream.SendMsg(f)
	}
	first, err := h.initialFrame(time.Now())
	if err != nil {
		return err
	}
	if err := send(first); err != nil {
		return err
	}
	if f, ok := h.source.Backlog(); ok {
		if err := stream.SendMsg(&f); err != nil {
			return err
		}
	}
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case err := <-failed:
			return err
		case f, ok := <-x.frames:
			if !ok {
				return status.Error(codes.ResourceExhausted, "follower is too slow; connect again")
			}
			if err := send(f); err != nil {
				return err
			}
		}
	}
}

// receive handles the frames of a follower. All of them must be of one router, since what
// is held of a follower is held under its name.
func (h *Hub) receive(stream grpc.ServerStream, conn *inlet.Conn) error {
	var from ident.RouterID
	for {
		var m message
		if err := stream.RecvMsg(&m); err != nil {
			return err
		}
		f, err := h.decodeReport(m, conn)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if from == "" {
			from = f.From
		}
		if f.From != "" && f.From != from {
			return status.Errorf(codes.InvalidArgument, "frames of router %q on a feed of %q", f.From, from)
		}
		h.source.HandleFrame(f)
	}
}

// decodeReport decodes a frame of a follower. It takes the memory for that from the
// budget of the connection, if there is one, and decodes one frame at a time.
func (h *Hub) decodeReport(m message, conn *inlet.Conn) (Frame, error) {
	h.decoding.Lock()
	defer h.decoding.Unlock()
	text, err := inflate(m, maxReportBytes)
	if err != nil {
		return Frame{}, err
	}
	if conn != nil {
		cost := int64(len(text) + reportElementCost*inlet.Elements(text))
		if !conn.Account().Take(cost, inlet.Large) {
			return Frame{}, fmt.Errorf("a frame needs %d bytes, which are not left", cost)
		}
		defer conn.Account().Give(cost)
	}
	var f Frame
	if err := json.Unmarshal(text, &f); err != nil {
		return Frame{}, fmt.Errorf("decoding a frame: %w", err)
	}
	return f, nil
}

func (h *Hub) removeFollower(x *follower) {
	h.lock.Lock()
	defer h.lock.Unlock()
	delete(h.followers, x)
}
