package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/flow"
)

// authenticate returns the team of the caller's API key. The key's hash is compared
// with every known hash in constant time, even after a match, so that the time taken
// does not reveal which hash matched.
func authenticate(header http.Header, config *fleet.Config) (*fleet.Team, error) {
	key, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, unauthorized("header Authorization with a bearer key is missing")
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *fleet.Team
	for _, t := range config.Teams {
		for _, k := range t.Keys {
			if subtle.ConstantTimeCompare(hash, []byte(k)) == 1 {
				found = t
			}
		}
	}
	if found == nil {
		return nil, unauthorized("key belongs to no team")
	}
	return found, nil
}

func unauthorized(message string) *flow.Refusal {
	return &flow.Refusal{Code: flow.CodeUnauthorized, Message: message, Ran: flow.RanNo}
}
