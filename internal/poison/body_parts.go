package poison

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BodyParts returns the ids of the parts of a chat request's prompt that other requests
// may share: a hash of each message but the last. It returns nil if the body is not a
// chat request.
func BodyParts(body []byte) []string {
	var chat struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &chat) != nil || len(chat.Messages) < 2 {
		return nil
	}
	ids := make([]string, len(chat.Messages)-1)
	for i := range ids {
		ids[i] = strconv.FormatUint(xxhash.Sum64(canonical(chat.Messages[i])), 16)
	}
	return ids
}
