package sess

import (
	"crypto/cipher"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"golang.org/x/crypto/blake2b"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// ErrToken is returned for a token that was not sealed with a known key for the
// team and session of the request.
var ErrToken = errors.New("session token is not valid here")

// maxTokenBytes is the maximum size of a token.
const maxTokenBytes = 4096

// Key is a key for session tokens. All routers share it.
type Key [chacha20poly1305.KeySize]byte

// Token is a sealed binding, which the caller sends with its requests.
type Token string

// Sealer seals and opens tokens with XChaCha20-Poly1305. The nonce is a keyed hash
// of the binding, so no source of randomness is needed: different bindings have
// different nonces but for a collision of 192 bits, and the same binding gives the
// same token, which reveals nothing to its holder. It is safe for concurrent use.
type Sealer struct {
	nonceKey Key // key of the nonce hash, derived from the first token key
	aeads    []cipher.AEAD
}

// NewSealer returns a Sealer that seals with the first key and opens with any key,
// so that keys can be rotated without breaking sessions.
func NewSealer(first Key, others ...Key) (*Sealer, error) {
	s := &Sealer{}
	nonce, err := keyedHash(first, blake2b.Size256, []byte("session token nonce"))
	if err != nil {
		return nil, fmt.Errorf("derive session nonce key: %w", err)
	}
	copy(s.nonceKey[:], nonce)
	for _, k := range append([]Key{first}, others...) {
		aead, err := chacha20poly1305.NewX(k[:])
		if err != nil {
			return nil, fmt.Errorf("set up session token key: %w", err)
		}
		s.aeads = append(s.aeads, aead)
	}
	return s, nil
}

// Seal returns the token of a binding.
func (s *Sealer) Seal(binding Binding) (Token, error) {
	plain, err := json.Marshal(binding)
	if err != nil {
		return "", fmt.Errorf("encode session binding: %w", err)
	}
	nonce, err := keyedHash(s.nonceKey, chacha20poly1305.NonceSizeX, plain)
	if err != nil {
		return "", fmt.Errorf("derive session token nonce: %w", err)
	}
	data, err := associatedData(binding.Session)
	if err != nil {
		return "", err
	}
	sealed := s.aeads[0].Seal(nonce, nonce, plain, data)
	return Token(base64.RawURLEncoding.EncodeToString(sealed)), nil
}

// Open returns the binding of a token that was sent with the session, or an error
// that wraps ErrToken.
func (s *Sealer) Open(session ident.SessionKey, token Token) (Binding, error) {
	if len(token) > maxTokenBytes {
		return Binding{}, fmt.Errorf("session token of %d bytes is longer than %d: %w", len(token), maxTokenBytes, ErrToken)
	}
	sealed, err := base64.RawURLEncoding.DecodeString(string(token))
	if err != nil || len(sealed) < chacha20poly1305.NonceSizeX {
		return Binding{}, fmt.Errorf("read session token: %w", ErrToken)
	}
	data, err := associatedData(session)
	if err != nil {
		return Binding{}, err
	}
	nonce, body := sealed[:chacha20poly1305.NonceSizeX], sealed[chacha20poly1305.NonceSizeX:]
	for _, aead := range s.aeads {
		plain, err := aead.Open(nil, nonce, body, data)
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

// associatedData returns the additional data that ties a token to its team and
// session.
func associatedData(session ident.SessionKey) ([]byte, error) {
	data, err := json.Marshal(session)
	if err != nil {
		return nil, fmt.Errorf("encode session key: %w", err)
	}
	return data, nil
}

// keyedHash returns a keyed BLAKE2b hash of the given size.
func keyedHash(key Key, size int, data []byte) ([]byte, error) {
	h, err := blake2b.New(size, key[:])
	if err != nil {
		return nil, fmt.Errorf("set up keyed hash: %w", err)
	}
	_, _ = h.Write(data)
	return h.Sum(nil), nil
}
