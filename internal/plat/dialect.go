package plat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Dialect encodes the calls to one kind of platform and decodes its replies. It
// only translates; the Client decides on calls and retries. Decoded versions have
// no era, the Client adds it.
type Dialect interface {
	// GetPath returns the path of one object.
	GetPath(key Key) string
	// DecodeObject decodes an object; version is the value of the reply's version
	// header.
	DecodeObject(key Key, version Version, body []byte) (Object, error)
	// ListPath returns the path of a page of the objects under prefix whose keys
	// follow after.
	ListPath(prefix, after Key) string
	// DecodePage decodes a page of a list.
	DecodePage(prefix Key, body []byte) (Page, error)
	// PutRequest returns the call that writes value if the object's version is
	// expect.
	PutRequest(key Key, value []byte, expect Version) (method, path string, body []byte)
	// DecodePutVersion returns the new version from the reply to a put, or 0 if it
	// has none.
	DecodePutVersion(version Version, body []byte) Version
	// DeletePath returns the path of the call that deletes an object.
	DeletePath(key Key, expect Version) string
	// WatchPath returns the path of a watch.
	WatchPath(prefix Key, after Version, wait time.Duration) string
	// DecodeChanges decodes the reply to a watch; the version is where the next
	// watch starts.
	DecodeChanges(prefix Key, body []byte) ([]Change, Version, error)
	// DecodeEra decodes the store's era from the header of any reply.
	DecodeEra(h http.Header) Era
}

// Page is one page of a list.
type Page struct {
	Objects []Object
	Next    Key     // key after which the next page begins, "" on the last page
	Version Version // of the store when the page was read, 0 if not reported
}

// objectAPI is the dialect of the object API that the platform simulator serves.
type objectAPI struct{}

var _ Dialect = objectAPI{}

func (objectAPI) GetPath(key Key) string { return "/v1/objects/" + escape(key) }

func (objectAPI) DecodeObject(key Key, version Version, body []byte) (Object, error) {
	return Object{Key: key, Version: version, Value: body}, nil
}

func (objectAPI) ListPath(prefix, _ Key) string {
	return "/v1/objects?prefix=" + url.QueryEscape(string(prefix))
}

func (objectAPI) DecodePage(_ Key, body []byte) (Page, error) {
	var reply listReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return Page{}, fmt.Errorf("decode list of objects: %w", err)
	}
	objects := make([]Object, len(reply.Objects))
	for i, o := range reply.Objects {
		objects[i] = Object(o)
	}
	return Page{Objects: objects}, nil
}

func (objectAPI) PutRequest(key Key, value []byte, _ Version) (method, path string, body []byte) {
	return http.MethodPut, "/v1/objects/" + escape(key), value
}

func (objectAPI) DecodePutVersion(version Version, _ []byte) Version { return version }

func (objectAPI) DeletePath(key Key, _ Version) string { return "/v1/objects/" + escape(key) }

func (objectAPI) WatchPath(prefix Key, after Version, wait time.Duration) string {
	return fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait=%d", url.QueryEscape(string(prefix)), after, wait.Milliseconds())
}

func (objectAPI) DecodeChanges(_ Key, body []byte) ([]Change, Version, error) {
	var reply watchReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, 0, fmt.Errorf("decode list of changes: %w", err)
	}
	changes := make([]Change, len(reply.Changes))
	for i, w := range reply.Changes {
		changes[i] = Change{Object: Object{Key: w.Key, Version: w.Version, Value: w.Value}, At: w.At}
	}
	return changes, reply.Upto, nil
}

func (objectAPI) DecodeEra(http.Header) Era { return 0 }

// escape percent-encodes the segments of a key and keeps its slashes.
func escape(key Key) string {
	return (&url.URL{Path: string(key)}).EscapedPath()
}
