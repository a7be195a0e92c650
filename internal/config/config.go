// Package config compiles the operators' TOML files into one validated
// configuration of the fleet.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// File is an operators' file with its path relative to the collected tree.
type File = input.File

// Problem is an error in a file.
type Problem = input.Problem

// Problems are all the errors found, sorted.
type Problems = input.Problems

// Load validates the files together and returns the configuration that they
// declare, or all problems. The generation of the result is not set.
func Load(files []File) (*fleet.Config, Problems) {
	b := newBuilder()
	sorted := append([]File(nil), files...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Path < sorted[j].Path })
	for _, f := range sorted {
		b.readFile(f)
	}
	b.build()
	if len(b.problems) > 0 {
		return nil, b.problems.Sort()
	}
	b.config.Digest = Digest(files)
	return b.config, nil
}

// Digest returns the hex SHA-256 digest of a set of files. It does not depend on
// their order.
func Digest(files []File) string {
	lines := make([]string, len(files))
	for i, f := range files {
		lines[i] = fmt.Sprintf("%s %q\n", TextDigest(f.Text), f.Path)
	}
	return DigestLines(lines)
}

// DigestLines returns the digest of a set of files given as lines. Each line
// consists of the content's digest, a space, the quoted path and a line feed.
func DigestLines(lines []string) string {
	sorted := append([]string(nil), lines...)
	sort.Strings(sorted)
	sum := sha256.New()
	for _, line := range sorted {
		sum.Write([]byte(line))
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// TextDigest returns the hex SHA-256 digest of a file's content.
func TextDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the hash of a team's API key, as used in the operators' files.
func HashKey(key string) fleet.KeyHash {
	return fleet.KeyHash(TextDigest([]byte(key)))
}

func newConfig() *fleet.Config {
	return &fleet.Config{
		Teams:     map[ident.TeamID]*fleet.Team{},
		Models:    map[ident.ModelID]*fleet.Model{},
		Services:  map[ident.ServiceID]*fleet.Service{},
		Rollouts:  map[ident.ModelID]*fleet.Rollout{},
		Zones:     map[ident.ZoneID]*fleet.Zone{},
		Endpoints: map[ident.EndpointID]*fleet.EndpointSpec{},
	}
}
