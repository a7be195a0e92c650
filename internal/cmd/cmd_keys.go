package cmd

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/fleet"
)

const (
	keyBytes  = 32
	keyPrefix = "mg-"
)

// Keys generates and hashes API keys.
type Keys struct {
	New  KeysNew  `cmd:"" help:"Generate a key and its hash."`
	Hash KeysHash `cmd:"" help:"Hash a key read from standard input."`
}

// Help returns the detailed help with examples.
func (Keys) Help() string {
	return `A team's file contains only hashes of its keys, so that a leaked file gives no
access. Give the key itself to the team; it is shown only once.

Examples:
  marigoldscale keys new
  marigoldscale keys hash < key.txt`
}

// KeysNew generates a key.
type KeysNew struct{}

// keyPair is a key with its hash for the team's file.
type keyPair struct {
	Key  string        `json:"key,omitempty"`
	Hash fleet.KeyHash `json:"hash"`
}

// Run prints a new key and its hash.
func (c *KeysNew) Run(r *Run) error {
	digits, err := r.random(keyBytes)
	if err != nil {
		return err
	}
	key := keyPrefix + digits
	pair := keyPair{Key: key, Hash: config.HashKey(key)}
	if r.flags.JSON {
		return r.printJSON(pair)
	}
	fmt.Fprintf(r.Out, "key   %s\nhash  %s\n", pair.Key, pair.Hash)
	return nil
}

// KeysHash hashes a key from standard input. It does not take the key as an
// argument, because other users of the machine can see arguments.
type KeysHash struct{}

// Run prints the hash of the first line of standard input.
func (c *KeysHash) Run(r *Run) error {
	line, err := bufio.NewReader(r.In).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return badInput(errors.Errorf("no key on standard input (%v); write the key on the first line", err))
	}
	pair := keyPair{Hash: config.HashKey(key)}
	if r.flags.JSON {
		return r.printJSON(pair)
	}
	fmt.Fprintln(r.Out, pair.Hash)
	return nil
}
