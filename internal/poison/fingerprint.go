// Package poison detects requests that crash the endpoints that run them, across
// all routers, by a fingerprint of the body. After one crash a suspected body
// runs only alone on an endpoint; after two it is refused.
package poison

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Fingerprint returns the hash of a request body. JSON bodies that differ only
// in white space and in the order of keys have the same fingerprint; other bodies
// are hashed as they are. The salt gives equal bodies for different models or
// services different fingerprints.
func Fingerprint(salt string, body []byte) ident.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(salt) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(canonical(body))
	return ident.Fingerprint(h.Sum64())
}

// canonical returns a JSON body without white space and with sorted keys, and
// any other body unchanged.
func canonical(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return body
	}
	if _, err := d.Token(); err != io.EOF {
		return body
	}
	text, err := json.Marshal(value) // sorts the keys of objects
	if err != nil {
		return body
	}
	return text
}
