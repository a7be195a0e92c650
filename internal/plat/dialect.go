package plat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Dialect spells the calls of one kind of platform, and reads its replies. It
// only translates: when to call, and again, is the Client's.
type Dialect interface {
	// Get gives the path of one object.
	Get(key Key) string
	// Object reads the reply to Get; version is that of the reply's header.
	Object(key Key, version Version, body []byte) (Object, error)
	// List gives the path of a page of the objects under prefix, after a key.
	List(prefix, after Key) string
	// Page reads the reply to List.
	Page(prefix Key, body []byte) (Page, error)
	// Put gives the call that writes value if the object's version is expect.
	Put(key Key, value []byte, expect Version) (method, path string, body []byte)
	// Written reads the new version from the reply to Put, 0 if it names none.
	Written(version Version, body []byte) Version
	// Delete gives the path of the call that removes an object.
	Delete(key Key, expect Version) string
	// Watch gives the path of a watch.
	Watch(prefix Key, after Version, wait time.Duration) string
	// Changes reads the reply to Watch, with the version to go on from.
	Changes(prefix Key, body []byte) ([]Change, Version, error)
}

// Page is a part of a list.
type Page struct {
	Objects []Object
	Next    Key     // the key after which the next page begins, "" on the last
	Upto    Version // of the store when the page was read, 0 if not told
}

// plain is the dialect of the stand-in's object API.
type plain struct{}

var _ Dialect = plain{}

func (plain) Get(key Key) string { return "/v1/objects/" + escape(key) }

func (plain) Object(key Key, version Version, body []byte) (Object, error) {
	return Object{Key: key, Version: version, Value: body}, nil
}

func (plain) List(prefix, _ Key) string {
	return "/v1/objects?prefix=" + url.QueryEscape(string(prefix))
}

func (plain) Page(_ Key, body []byte) (Page, error) {
	var reply wireList
	if err := json.Unmarshal(body, &reply); err != nil {
		return Page{}, fmt.Errorf("list of objects: %w", err)
	}
	objects := make([]Object, len(reply.Objects))
	for i, o := range reply.Objects {
		objects[i] = Object(o)
	}
	return Page{Objects: objects}, nil
}

func (plain) Put(key Key, value []byte, _ Version) (method, path string, body []byte) {
	return http.MethodPut, "/v1/objects/" + escape(key), value
}

func (plain) Written(version Version, _ []byte) Version { return version }

func (plain) Delete(key Key, _ Version) string { return "/v1/objects/" + escape(key) }

func (plain) Watch(prefix Key, after Version, wait time.Duration) string {
	return fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait=%d", url.QueryEscape(string(prefix)), after, wait.Milliseconds())
}

func (plain) Changes(_ Key, body []byte) ([]Change, Version, error) {
	var reply wireWatch
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, 0, fmt.Errorf("list of changes: %w", err)
	}
	changes := make([]Change, len(reply.Changes))
	for i, w := range reply.Changes {
		changes[i] = Change{Object: Object{Key: w.Key, Version: w.Version, Value: w.Value}, At: w.At}
	}
	return changes, reply.Upto, nil
}

// escape keeps the slashes of a key and escapes its parts.
func escape(key Key) string {
	return (&url.URL{Path: string(key)}).EscapedPath()
}
