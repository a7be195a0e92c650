package stand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/labstack/echo/v4"
)

// outlet writes the frames of one stream, doubled, swapped and mixed with
// foreign ones as the faults say.
type outlet struct {
	response *echo.Response
	stream   *stream
	held     *chunk // sent after the next frame
	double   spread
	swap     spread
	foreign  spread
}

func newOutlet(response *echo.Response, s *stream) *outlet {
	return &outlet{response: response, stream: s}
}

// send writes the n-th frame.
func (o *outlet) send(n int) error {
	frame := o.stream.frame(n)
	faults := o.stream.faults
	if o.foreign.next(faults.ForeignShare) {
		if err := o.write(o.stream.foreign(n)); err != nil {
			return err
		}
	}
	if o.held == nil && n < o.stream.total && o.swap.next(faults.ReorderShare) {
		o.held = &frame
		return nil
	}
	if err := o.write(frame); err != nil {
		return err
	}
	if o.double.next(faults.DuplicateShare) {
		if err := o.write(frame); err != nil {
			return err
		}
	}
	return o.release()
}

// release writes the frame that was held back, if any.
func (o *outlet) release() error {
	if o.held == nil {
		return nil
	}
	frame := *o.held
	o.held = nil
	return o.write(frame)
}

// done ends the stream.
func (o *outlet) done() error {
	if _, err := io.WriteString(o.response, "data: [DONE]\n\n"); err != nil {
		return fmt.Errorf("ending stream: %w", err)
	}
	o.response.Flush()
	return nil
}

func (o *outlet) write(frame chunk) error {
	encoded, err := json.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encoding frame: %w", err)
	}
	event := make([]byte, 0, len(encoded)+8)
	event = append(event, "data: "...)
	event = append(event, encoded...)
	event = append(event, "\n\n"...)
	if _, err := o.response.Write(event); err != nil {
		return fmt.Errorf("writing frame: %w", err)
	}
	o.response.Flush()
	return nil
}
