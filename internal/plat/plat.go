// Package plat defines the router's interface to the platform, which is an
// object store with versions, conditional updates and watches, and a list of
// instances. It also holds an HTTP client and an in-memory implementation.
package plat

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Key names an object; its parts are separated by slashes.
type Key string

// Version is a store-wide counter value assigned to each update of an object; 0
// means that the object does not exist. The upper bits hold the era in which it
// was read, since a store that comes back from an older copy assigns counter
// values again: a version of a later era is always greater, and equals none of an
// earlier era.
type Version uint64

// Era counts how often the store has come back from an older copy of itself, which
// loses the latest changes; 0 if the store does not report it.
type Era uint64

// eraShift is the number of bits of a Version that hold the counter value.
const eraShift = 48

// NewVersion returns the version of a counter value in an era.
func NewVersion(era Era, counter uint64) Version {
	if counter == 0 {
		return 0
	}
	return Version(uint64(era)<<eraShift | counter)
}

// Era returns the era in which the version was read.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Counter returns the counter value that the store assigned.
func (v Version) Counter() uint64 { return uint64(v) & (1<<eraShift - 1) }

// String returns the counter value, and the era if there is one.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Counter(), 10)
	}
	return fmt.Sprintf("%d in era %d", v.Counter(), v.Era())
}

// MaxValueBytes is the size limit of a stored value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its key and version.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Class is the priority class of a call in the call budget; lower values are
// more urgent.
type Class int

// The classes of calls, most urgent first.
const (
	ClassClaim Class = iota
	ClassConfig
	ClassBill
	ClassStatus
	classCount
)

// The errors that calls to Platform return, wrapped.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object's version was not the expected one and
	// nothing was written.
	ErrConflict = errors.New("object has another version")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write is not known")
	// ErrCompacted means that the history from which the watch would continue is
	// gone, compacted or of an earlier era; the objects must be listed again.
	ErrCompacted = errors.New("history of the store is gone")
	// ErrUnavailable means that the call had no effect: the platform cannot be
	// reached, or the call budget is exhausted.
	ErrUnavailable = errors.New("platform is not available")
)

// Instance is an entry in the platform's list of instances, which may be out of
// date.
type Instance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Change is one update reported by a watch. For a deletion, Object has Version 0
// and At holds the version of the deletion.
type Change struct {
	Object Object
	At     Version
}

// Platform is the interface to the platform's services. Every call may block
// until ctx ends. Decisions that depend on the present time are made by callers.
type Platform interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, class Class, key Key) (Object, error)
	// List returns all objects whose key begins with prefix, sorted by key.
	List(ctx context.Context, class Class, prefix Key) ([]Object, error)
	// Put writes value if the object's version is expect, where 0 means that it
	// must not exist, and returns the new version. It returns ErrConflict,
	// ErrUncertain or ErrUnavailable on failure.
	Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error)
	// Delete deletes the object if its version is expect.
	Delete(ctx context.Context, class Class, key Key, expect Version) error
	// Watch waits up to wait for changes under prefix that are later than after,
	// and returns them with the version up to which they are complete.
	Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
	// Instances returns the live and leaving instances.
	Instances(ctx context.Context, class Class) ([]Instance, error)
	// Announce registers this router in the list of instances, or renews its entry.
	Announce(ctx context.Context, class Class, instance Instance) error
}

// The keys under which marigoldscale stores its objects.
const (
	ConfigPrefix  Key = "config/" // objects that routers read and watch together
	HeadKey       Key = "config/head"
	PartPrefix    Key = "part/"            // + digest
	JournalPrefix Key = "journal/"         // + shard / sequence
	RolloutPrefix Key = "config/rollout/"  // + model
	WithdrawnKey  Key = "config/withdrawn" // all withdrawals, by routers and by operators
	StewardPrefix Key = "steward/"         // + zone
	StatusPrefix  Key = "status/"          // + router
	OrderPrefix   Key = "order/"           // + endpoint
)

// Head identifies the active configuration. It is stored at HeadKey as JSON.
type Head struct {
	Generation ident.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	Files      []File           `json:"files"` // the operators' files, sorted by path
	Nonce      string           `json:"nonce"` // identifies the write, to recognize it when its reply is lost
	By         string           `json:"by"`
	At         time.Time        `json:"at"`
}

// File is an operators' file that a head lists; its text is stored under
// PartPrefix by digest.
type File struct {
	Path   string `json:"path"`
	Digest string `json:"digest"` // hex SHA-256 of the text, also the suffix of its key
}
