// Package plat is the router's view of the platform: an object store with
// versions, conditional updates and watches, and a list of instances.
package plat

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// Key names an object; its parts are separated by slashes.
type Key string

// Version counts an object's updates; 0 stands for an absent object. It is
// drawn from one counter over the whole store.
type Version uint64

// MaxValue is the largest value that the platform holds, in bytes.
const MaxValue = 1 << 20

// Object is one stored value.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Class groups calls for the call budget; a lower class is served first.
type Class int

// The classes of calls, the most urgent first.
const (
	ClassClaim Class = iota
	ClassConfig
	ClassBill
	ClassStatus
	classCount
)

// The errors that callers of Platform tell apart by errors.Is.
var (
	// ErrAbsent means that the object does not exist.
	ErrAbsent = errors.New("object does not exist")
	// ErrConflict means that the object's version was not the expected one;
	// nothing was written.
	ErrConflict = errors.New("object has another version")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write is not known")
	// ErrCompacted means that the platform has dropped the history that a watch
	// would go on from; the objects must be listed again.
	ErrCompacted = errors.New("history of the store is gone")
	// ErrUnavailable means that the call had no effect: the platform is away or
	// the call budget is used up.
	ErrUnavailable = errors.New("platform is not available")
)

// Instance is an entry of the platform's list of instances, which lags.
type Instance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Change is one update seen by a watch; an absent object has Version 0 in
// Object and its deletion's version in At.
type Change struct {
	Object Object
	At     Version
}

// Platform is what the router asks of the platform's service. Every call may
// block until ctx ends. now-dependent decisions are made by callers.
type Platform interface {
	// Get reads an object, or fails with ErrAbsent.
	Get(ctx context.Context, class Class, key Key) (Object, error)
	// List reads all objects whose key begins with prefix, sorted by key.
	List(ctx context.Context, class Class, prefix Key) ([]Object, error)
	// Put writes value if the object's version is expect (0: absent), and gives
	// the new version. It fails with ErrConflict, ErrUncertain or ErrUnavailable.
	Put(ctx context.Context, class Class, key Key, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, class Class, key Key, expect Version) error
	// Watch waits up to wait for changes under prefix later than after, and
	// gives them with the version up to which they are complete.
	Watch(ctx context.Context, class Class, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
	// Instances lists the live and leaving instances.
	Instances(ctx context.Context, class Class) ([]Instance, error)
	// Announce enters this router in the list of instances, or renews it.
	Announce(ctx context.Context, class Class, instance Instance) error
}

// The keys under which marigoldscale keeps its objects.
const (
	ConfigPrefix  Key = "config/" // all that routers read and watch together
	HeadKey       Key = "config/head"
	PartPrefix    Key = "part/"            // + digest
	JournalPrefix Key = "journal/"         // + shard / sequence
	RolloutPrefix Key = "config/rollout/"  // + model
	WithdrawnKey  Key = "config/withdrawn" // all withdrawals made by routers or by hand
	StewardPrefix Key = "steward/"         // + zone
	StatusPrefix  Key = "status/"          // + router
	OrderPrefix   Key = "order/"           // + endpoint
)

// Head names the configuration in force. It is the value at HeadKey, as JSON.
type Head struct {
	Generation ident.Generation `json:"generation"`
	Digest     string           `json:"digest"`
	Files      []File           `json:"files"` // the operators' files, sorted by path
	Nonce      string           `json:"nonce"` // names the write, for lost answers
	By         string           `json:"by"`
	At         time.Time        `json:"at"`
}

// File is one operators' file within a head, kept as a part by digest.
type File struct {
	Path   string `json:"path"`
	Digest string `json:"digest"` // hex SHA-256 of the text, also the part's key
}
