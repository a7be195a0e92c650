package stand

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// ReplyGRPC returns a function for NewRawServer that answers each gRPC call on a connection
// with the given header fields, one message and status OK. It sends the fields as they are,
// malformed ones too.
func ReplyGRPC(message []byte, fields ...hpack.HeaderField) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if _, err := io.CopyN(io.Discard, c, int64(len(http2.ClientPreface))); err != nil {
			return // the client has closed
		}
		f := http2.NewFramer(c, c)
		if f.WriteSettings() != nil {
			return
		}
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			switch x := frame.(type) {
			case *http2.SettingsFrame:
				if !x.IsAck() {
					err = f.WriteSettingsAck()
				}
			case *http2.HeadersFrame:
				err = replyGRPC(f, x.StreamID, message, fields)
			}
			if err != nil {
				return // the client has closed
			}
		}
	}
}

// replyGRPC answers one call on a stream of a connection.
func replyGRPC(f *http2.Framer, stream uint32, message []byte, fields []hpack.HeaderField) error {
	prefix := make([]byte, 5) // not compressed, and the length
	binary.BigEndian.PutUint32(prefix[1:], uint32(len(message)))
	head := http2.HeadersFrameParam{StreamID: stream, BlockFragment: encodeFields(fields), EndHeaders: true}
	if err := f.WriteHeaders(head); err != nil {
		return fmt.Errorf("write the head: %w", err)
	}
	if err := f.WriteData(stream, false, append(prefix, message...)); err != nil {
		return fmt.Errorf("write the message: %w", err)
	}
	end := encodeFields([]hpack.HeaderField{{Name: "grpc-status", Value: "0"}})
	if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: end, EndHeaders: true, EndStream: true}); err != nil {
		return fmt.Errorf("write the status: %w", err)
	}
	return nil
}

func encodeFields(fields []hpack.HeaderField) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	e.SetMaxDynamicTableSize(0) // a table would have to be shared by the frames of the connection
	for _, x := range fields {
		_ = e.WriteField(x) // writes to a buffer do not fail
	}
	return b.Bytes()
}
