package copies

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/marigoldscale/marigoldscale/internal/fleet"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Sender decides which peers get copies of this router's records. It is not safe for
// concurrent use.
type Sender struct {
	settings Settings
	self     fleet.Router
	sequence Sequence
	peers    map[ident.RouterID]*peer
}

// peer is the state of a router that may hold copies.
type peer struct {
	updated          bool
	digest           uint64   // of the records in the last update
	updateSequence   Sequence // of the last update
	additionSequence Sequence // of the latest batch that added copies
	updatedAt        time.Time
	retryAt          time.Time // time of the next attempt after a failure
}

// Update is a batch that replaces the copies held by a peer.
type Update struct {
	To      fleet.Router
	Records []EncodedRecord
	digest  uint64
}

// NewSender returns a Sender for a router.
func NewSender(self fleet.Router, settings Settings) *Sender {
	return &Sender{settings: settings, self: self, peers: map[ident.RouterID]*peer{}}
}

// NextSequence returns the sequence number for a batch. For a batch that replaces
// copies, it must be taken before the pending records are read from the journal; for a
// batch that adds copies, after the journal has queued the records.
func (s *Sender) NextSequence() Sequence {
	s.sequence++
	return s.sequence
}

// Targets returns the peers that should hold copies, preferably in other availability
// zones and in different ones. Each router prefers the routers with ids after its own,
// so that copies are spread over all routers.
func (s *Sender) Targets(now time.Time, live []fleet.Router) []fleet.Router {
	var others []fleet.Router
	for _, r := range live {
		p, known := s.peers[r.ID]
		if r.ID == s.self.ID || r.Leaving || known && now.Before(p.retryAt) {
			continue
		}
		others = append(others, r)
	}
	slices.SortFunc(others, func(a, b fleet.Router) int {
		return cmp.Or(wrapsAround(s.self.ID, a.ID)-wrapsAround(s.self.ID, b.ID), cmp.Compare(a.ID, b.ID))
	})
	used := map[ident.ZoneID]int{s.self.Zone: s.settings.CopiesPerRecord + 1}
	var chosen []fleet.Router
	for len(others) > 0 && len(chosen) < s.settings.CopiesPerRecord {
		best := 0
		for i := range others {
			if used[others[i].Zone] < used[others[best].Zone] {
				best = i
			}
		}
		used[others[best].Zone]++
		chosen = append(chosen, others[best])
		others = slices.Delete(others, best, best+1)
	}
	return chosen
}

// Updates returns the updates to send, given the pending records: targets must hold
// exactly these, and other peers nothing.
func (s *Sender) Updates(now time.Time, live []fleet.Router, pending []EncodedRecord) []Update {
	for id := range s.peers {
		if !slices.ContainsFunc(live, func(r fleet.Router) bool { return r.ID == id }) {
			delete(s.peers, id)
		}
	}
	targets := s.Targets(now, live)
	pendingDigest, emptyDigest := digest(pending), digest(nil)
	var updates []Update
	for _, r := range live {
		p := s.peer(r.ID)
		if r.ID == s.self.ID || now.Before(p.retryAt) {
			continue
		}
		update := Update{To: r, digest: emptyDigest}
		isTarget := slices.ContainsFunc(targets, func(t fleet.Router) bool { return t.ID == r.ID })
		if isTarget {
			update.Records, update.digest = pending, pendingDigest
		}
		stale := len(update.Records) > 0 && now.Sub(p.updatedAt) >= s.settings.RefreshInterval
		if !p.updated || p.digest != update.digest || p.additionSequence > p.updateSequence || stale {
			updates = append(updates, update)
		}
	}
	return updates
}

// RecordUpdate records that a peer has accepted an update.
func (s *Sender) RecordUpdate(now time.Time, update Update, sequence Sequence) {
	p := s.peer(update.To.ID)
	p.updated, p.digest, p.updateSequence, p.updatedAt = true, update.digest, sequence, now
}

// RecordAddition records that a batch that adds copies was sent to a peer, which may
// hold more than the last update since.
func (s *Sender) RecordAddition(to ident.RouterID, sequence Sequence) {
	p := s.peer(to)
	p.additionSequence = max(p.additionSequence, sequence)
}

// RecordFailure records that sending a batch to a peer failed. The peer may have
// stored the batch.
func (s *Sender) RecordFailure(now time.Time, to ident.RouterID) {
	p := s.peer(to)
	p.updated = false
	p.retryAt = now.Add(s.settings.RetryInterval)
}

func (s *Sender) peer(id ident.RouterID) *peer {
	p, ok := s.peers[id]
	if !ok {
		p = &peer{}
		s.peers[id] = p
	}
	return p
}

// wrapsAround returns 0 if id follows self in the order of ids, and 1 if it precedes
// self.
func wrapsAround(self, id ident.RouterID) int {
	if id > self {
		return 0
	}
	return 1
}

// digest returns a hash of a set of records.
func digest(records []EncodedRecord) uint64 {
	hash := fnv.New64a()
	for _, record := range slices.Sorted(slices.Values(records)) {
		_, _ = io.WriteString(hash, string(record))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
