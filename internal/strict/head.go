package strict

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead is returned for a response with a malformed head, to be tested with
// errors.Is.
var ErrMalformedHead = errors.New("response head is malformed")

// minStatus is the lowest status code of RFC 9110, section 15.
const minStatus = 100

// CheckHead returns ErrMalformedHead if the status of a response is below 100, or if the
// name of a header field is no token. net/http accepts both. It passes on names with
// blanks, and does not recognize the fields among them that frame the body.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus {
		return fmt.Errorf("status %03d: %w", r.StatusCode, ErrMalformedHead)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q: %w", name, ErrMalformedHead)
		}
	}
	return nil
}
