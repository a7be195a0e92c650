package stand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/labstack/echo/v4"
)

// frameWriter writes the frames of one stream. As its faults require, it duplicates
// and reorders frames and inserts frames of other attempts.
type frameWriter struct {
	response   *echo.Response
	stream     *stream
	delayed    *answerFrame // to be written after the next frame
	duplicates shareSelector
	reorders   shareSelector
	foreigns   shareSelector
}

func newFrameWriter(response *echo.Response, s *stream) *frameWriter {
	return &frameWriter{response: response, stream: s}
}

// writeFrame writes the n-th frame and applies the faults to it.
func (w *frameWriter) writeFrame(n int) error {
	frame := w.stream.frame(n)
	faults := w.stream.faults
	if w.foreigns.next(faults.ForeignShare) {
		if err := w.writeEvent(w.stream.foreignFrame(n)); err != nil {
			return err
		}
	}
	if w.delayed == nil && n < w.stream.answerTokens && w.reorders.next(faults.ReorderShare) {
		w.delayed = &frame
		return nil
	}
	if err := w.writeEvent(frame); err != nil {
		return err
	}
	if w.duplicates.next(faults.DuplicateShare) {
		if err := w.writeEvent(frame); err != nil {
			return err
		}
	}
	return w.writeDelayed()
}

// writeDelayed writes the delayed frame, if there is one.
func (w *frameWriter) writeDelayed() error {
	if w.delayed == nil {
		return nil
	}
	frame := *w.delayed
	w.delayed = nil
	return w.writeEvent(frame)
}

// writeDone writes the end marker of the stream.
func (w *frameWriter) writeDone() error {
	if _, err := io.WriteString(w.response, "data: [DONE]\n\n"); err != nil {
		return fmt.Errorf("ending stream: %w", err)
	}
	w.response.Flush()
	return nil
}

func (w *frameWriter) writeEvent(frame answerFrame) error {
	encoded, err := json.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encoding frame: %w", err)
	}
	event := make([]byte, 0, len(encoded)+8)
	event = append(event, "data: "...)
	event = append(event, encoded...)
	event = append(event, "\n\n"...)
	if _, err := w.response.Write(event); err != nil {
		return fmt.Errorf("writing frame: %w", err)
	}
	w.response.Flush()
	return nil
}
