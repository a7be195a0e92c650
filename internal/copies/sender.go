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

// Sender decides which peers get copies of this router's records. It is not
// safe for use by several goroutines at once.
type Sender struct {
	settings Settings
	self     fleet.Router
	serial   Sequence
	peers    map[ident.RouterID]*peer
}

// peer is what is known of one that may hold copies.
type peer struct {
	told   bool
	digest uint64 // of the texts that it was last told to hold
	serial Sequence // of that batch
	copied Sequence // of the newest batch that only added
	at     time.Time
	pause  time.Time // until which it gets no copies, as it failed
}

// Send is a batch for a peer.
type Update struct {
	To     fleet.Router
	Records  []EncodedRecord
	digest uint64
}

// NewSender makes a sender for a router.
func NewSender(self fleet.Router, settings Settings) *Sender {
	return &Sender{settings: settings, self: self, peers: map[ident.RouterID]*peer{}}
}

// Next gives the serial for a batch. For one that replaces, it must be taken
// before the journal is asked what is pending; for one that adds, after the
// journal has queued the records.
func (s *Sender) NextSequence() Sequence {
	s.serial++
	return s.serial
}

// Targets gives the peers to hold copies: in other availability zones if there
// are, and in different ones if there are. Routers in order of their ids choose
// those after them, so that copies are spread.
func (s *Sender) Targets(now time.Time, live []fleet.Router) []fleet.Router {
	var others []fleet.Router
	for _, r := range live {
		p, known := s.peers[r.ID]
		if r.ID == s.self.ID || r.Leaving || known && now.Before(p.pause) {
			continue
		}
		others = append(others, r)
	}
	slices.SortFunc(others, func(a, b fleet.Router) int {
		return cmp.Or(after(s.self.ID, a.ID)-after(s.self.ID, b.ID), cmp.Compare(a.ID, b.ID))
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

// Sync gives what peers must be told, given what is pending: targets hold just
// that, and others nothing.
func (s *Sender) Updates(now time.Time, live []fleet.Router, pending []EncodedRecord) []Update {
	for id := range s.peers {
		if !slices.ContainsFunc(live, func(r fleet.Router) bool { return r.ID == id }) {
			delete(s.peers, id)
		}
	}
	targets := s.Targets(now, live)
	whole, nothing := digest(pending), digest(nil)
	var sends []Update
	for _, r := range live {
		p := s.peer(r.ID)
		if r.ID == s.self.ID || now.Before(p.pause) {
			continue
		}
		send := Update{To: r, digest: nothing}
		target := slices.ContainsFunc(targets, func(t fleet.Router) bool { return t.ID == r.ID })
		if target {
			send.Records, send.digest = pending, whole
		}
		stale := len(send.Records) > 0 && now.Sub(p.at) >= s.settings.RefreshInterval
		if !p.told || p.digest != send.digest || p.copied > p.serial || stale {
			sends = append(sends, send)
		}
	}
	return sends
}

// Sent notes that a peer was told what to hold by the batch with the serial.
func (s *Sender) RecordUpdate(now time.Time, send Update, serial Sequence) {
	p := s.peer(send.To.ID)
	p.told, p.digest, p.serial, p.at = true, send.digest, serial, now
}

// Copied notes that a peer may hold more than it was told, by a batch that
// only adds.
func (s *Sender) RecordAddition(to ident.RouterID, serial Sequence) {
	p := s.peer(to)
	p.copied = max(p.copied, serial)
}

// Failed notes that a peer did not take a batch; it may hold it even so.
func (s *Sender) RecordFailure(now time.Time, to ident.RouterID) {
	p := s.peer(to)
	p.told = false
	p.pause = now.Add(s.settings.RetryInterval)
}

func (s *Sender) peer(id ident.RouterID) *peer {
	p, ok := s.peers[id]
	if !ok {
		p = &peer{}
		s.peers[id] = p
	}
	return p
}

// after gives 0 for ids after self and 1 for those before.
func after(self, id ident.RouterID) int {
	if id > self {
		return 0
	}
	return 1
}

// digest tells sets of texts apart.
func digest(texts []EncodedRecord) uint64 {
	hash := fnv.New64a()
	for _, t := range slices.Sorted(slices.Values(texts)) {
		_, _ = io.WriteString(hash, string(t))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
