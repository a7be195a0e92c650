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

// ErrToken means that a token was not sealed under a known key for the team
// and session that it came with.
var ErrToken = errors.New("session token is not valid here")

// maxToken bounds the tokens that are looked at, in bytes.
const maxToken = 4096

// Key seals session tokens. All routers share it.
type Key [chacha20poly1305.KeySize]byte

// Token is the sealed form of a binding, as the caller holds it.
type Token string

// Sealer seals and opens tokens with XChaCha20-Poly1305. The nonce is a keyed
// hash of the binding, so that no source of randomness is needed: different
// bindings have different nonces but for a collision of 192 bits, and the same
// binding gives the same token, which tells its holder nothing new. It may be
// used from several threads.
type Sealer struct {
	nonce Key // for the hash that gives nonces, derived from the first key
	aeads []cipher.AEAD
}

// New gives a sealer that seals under the first key and opens under any, so
// that keys can be changed without breaking sessions.
func NewSealer(first Key, others ...Key) (*Sealer, error) {
	s := &Sealer{}
	nonce, err := keyed(first, blake2b.Size256, []byte("session token nonce"))
	if err != nil {
		return nil, fmt.Errorf("derive session nonce key: %w", err)
	}
	copy(s.nonce[:], nonce)
	for _, k := range append([]Key{first}, others...) {
		aead, err := chacha20poly1305.NewX(k[:])
		if err != nil {
			return nil, fmt.Errorf("set up session token key: %w", err)
		}
		s.aeads = append(s.aeads, aead)
	}
	return s, nil
}

// Seal gives the token of a binding.
func (s *Sealer) Seal(binding Binding) (Token, error) {
	plain, err := json.Marshal(binding)
	if err != nil {
		return "", fmt.Errorf("encode session binding: %w", err)
	}
	nonce, err := keyed(s.nonce, chacha20poly1305.NonceSizeX, plain)
	if err != nil {
		return "", fmt.Errorf("derive session token nonce: %w", err)
	}
	data, err := associated(binding.Session)
	if err != nil {
		return "", err
	}
	sealed := s.aeads[0].Seal(nonce, nonce, plain, data)
	return Token(base64.RawURLEncoding.EncodeToString(sealed)), nil
}

// Open gives the binding of a token that came with the session, or ErrToken.
func (s *Sealer) Open(session ident.SessionKey, token Token) (Binding, error) {
	if len(token) > maxToken {
		return Binding{}, fmt.Errorf("session token of %d bytes is longer than %d: %w", len(token), maxToken, ErrToken)
	}
	sealed, err := base64.RawURLEncoding.DecodeString(string(token))
	if err != nil || len(sealed) < chacha20poly1305.NonceSizeX {
		return Binding{}, fmt.Errorf("read session token: %w", ErrToken)
	}
	data, err := associated(session)
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

// associated gives the data that binds a token to its team and session.
func associated(session ident.SessionKey) ([]byte, error) {
	data, err := json.Marshal(session)
	if err != nil {
		return nil, fmt.Errorf("encode session key: %w", err)
	}
	return data, nil
}

// keyed gives a BLAKE2b hash of the given size under a key.
func keyed(key Key, size int, data []byte) ([]byte, error) {
	h, err := blake2b.New(size, key[:])
	if err != nil {
		return nil, fmt.Errorf("set up keyed hash: %w", err)
	}
	_, _ = h.Write(data)
	return h.Sum(nil), nil
}
