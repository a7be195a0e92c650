package sess

import (
	"crypto/cipher"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrToken means that a token was not sealed under a known key for the team
// and session that it came with.
var ErrToken = errors.New("session token is not valid here")

// Key seals session tokens. All routers share it.
type Key [chacha20poly1305.KeySize]byte

// Token is the sealed form of a binding, as the caller holds it.
type Token string

// Sealer seals and opens tokens. It may be used from several threads.
type Sealer struct {
	current cipher.AEAD
	all     []cipher.AEAD
}

// New gives a sealer that seals under the first key and opens under any.
func New(first Key, others ...Key) (*Sealer, error) {
	s := &Sealer{}
	for _, k := range append([]Key{first}, others...) {
		aead, err := chacha20poly1305.NewX(k[:])
		if err != nil {
			return nil, fmt.Errorf("set up session token key: %w", err)
		}
		s.all = append(s.all, aead)
	}
	s.current = s.all[0]
	return s, nil
}

// Seal gives the token of a binding.
func (s *Sealer) Seal(binding Binding) (Token, error) {
	plain, err := json.Marshal(binding)
	if err != nil {
		return "", fmt.Errorf("encode session binding: %w", err)
	}
	nonce := make([]byte, chacha20poly1305.NonceSizeX)
	sealed := s.current.Seal(nonce, nonce, plain, associated(binding.Session))
	return Token(base64.RawURLEncoding.EncodeToString(sealed)), nil
}

// Open gives the binding of a token that came with the session, or ErrToken.
func (s *Sealer) Open(session ident.SessionKey, token Token) (Binding, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(string(token))
	if err != nil || len(sealed) < chacha20poly1305.NonceSizeX {
		return Binding{}, fmt.Errorf("read session token: %w", ErrToken)
	}
	nonce, body := sealed[:chacha20poly1305.NonceSizeX], sealed[chacha20poly1305.NonceSizeX:]
	for _, aead := range s.all {
		plain, err := aead.Open(nil, nonce, body, associated(session))
		if err != nil {
			continue
		}
		var b Binding
		if err := json.Unmarshal(plain, &b); err != nil {
			return Binding{}, fmt.Errorf("decode session token: %w", err)
		}
		return b, nil
	}
	return Binding{}, fmt.Errorf("open session token: %w", ErrToken)
}

// associated gives the data that binds a token to its team and session.
func associated(session ident.SessionKey) []byte {
	data, _ := json.Marshal(session)
	return data
}
