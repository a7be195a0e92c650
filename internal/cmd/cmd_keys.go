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

// Keys makes and hashes API keys.
type Keys struct {
	New  KeysNew  `cmd:"" help:"Make a key and its hash."`
	Hash KeysHash `cmd:"" help:"Hash a key read from standard input."`
}

// Help shows examples.
func (Keys) Help() string {
	return `A team's file holds only hashes of its keys, so that a file that leaks gives no
access. Hand the key itself to the team; it is shown once.

Examples:
  marigoldscale keys new
  marigoldscale keys hash < key.txt`
}

// KeysNew makes a key.
type KeysNew struct{}

// keyPair is a key with the hash that goes into a file.
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

// KeysHash hashes a key, which is not taken from the command line, where
// other users of the machine could read it.
type KeysHash struct{}

// Run prints the hash of the first line of standard input.
func (c *KeysHash) Run(r *Run) error {
	line, err := bufio.NewReader(r.In).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return badInput(errors.Errorf("no key on standard input (%v); write it on one line", err))
	}
	pair := keyPair{Hash: config.HashKey(key)}
	if r.flags.JSON {
		return r.printJSON(pair)
	}
	fmt.Fprintln(r.Out, pair.Hash)
	return nil
}
