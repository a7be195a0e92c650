// Package config turns the operators' short TOML files into one checked
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

// File is one operators' file, by its path within the collected tree.
type File = input.File

// Problem is one fault in a file.
type Problem = input.Problem

// Problems are all the faults found, sorted.
type Problems = input.Problems

// Load checks the files as a whole and gives the configuration that they
// declare, or every problem. The result has no generation yet.
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

// Digest gives the hex SHA-256 that names a set of files, whatever their order.
func Digest(files []File) string {
	lines := make([]string, len(files))
	for i, f := range files {
		lines[i] = fmt.Sprintf("%s %q\n", TextDigest(f.Text), f.Path)
	}
	return DigestLines(lines)
}

// DigestLines gives the digest of files that are known by their lines only,
// each being the text's digest, a space and the quoted path.
func DigestLines(lines []string) string {
	sorted := append([]string(nil), lines...)
	sort.Strings(sorted)
	sum := sha256.New()
	for _, line := range sorted {
		sum.Write([]byte(line))
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// TextDigest gives the hex SHA-256 of a file's text.
func TextDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// HashKey gives the form in which a team's API key stands in a file.
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
