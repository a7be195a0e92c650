package inlet

import "bytes"

// headScanner finds the end of a request's head, and counts its lines and bytes before
// net/http parses it.
type headScanner struct {
	size     int // bytes
	lines    int // complete lines
	line     int // bytes of the last line
	startsCR bool
}

// scan reads more of a head. It returns the number of bytes that belong to the head, and
// whether its end is among them.
func (h *headScanner) scan(b []byte) (n int, whole bool) {
	for n < len(b) {
		if h.line == 0 {
			h.startsCR = b[n] == '\r'
		}
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			h.line += len(b) - n
			n = len(b)
			break
		}
		length := h.line + i
		n, h.line = n+i+1, 0
		h.lines++
		if length == 0 || length == 1 && h.startsCR {
			h.size += n
			return n, true
		}
	}
	h.size += n
	return n, false
}
