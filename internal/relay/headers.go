package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection only and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passOn copies a header without what concerns one connection.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// requestHead writes the head of a request as it goes to an endpoint. Nothing
// is added beyond the header, the host and the body's length.
func encodeRequestHead(r *http.Request, h http.Header, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, requestTarget(r), r.Host)
	h.Del("Content-Length")
	h.Del("Host")
	h.Del("Expect")
	_ = h.Write(&b) // a buffer takes every write
	if size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// target gives the request's path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// pathOf gives the path that selects the route.
func routePath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// hostOf gives the host that selects the route.
func routeHost(r *http.Request) string {
	host := strings.ToLower(r.Host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// headSize estimates the bytes of a request's head.
func requestHeadSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// copyHead sets an answer's header to an endpoint's, and keeps the library
// from adding fields of its own.
func copyResponseHeaders(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
