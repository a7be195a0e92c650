package publsh

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
)

// Publisher runs publications against a platform.
type Publisher struct {
	platform plat.Platform
	now      func() time.Time
	sleep    func(context.Context, time.Duration) error
}

// NewPublisher gives a publisher that takes the time from now and pauses by
// sleep, which ends early with ctx.
func NewPublisher(platform plat.Platform, now func() time.Time, sleep func(context.Context, time.Duration) error) *Publisher {
	return &Publisher{platform: platform, now: now, sleep: sleep}
}

// Publish puts a change in force on the platform. It fails with *Refused,
// *Restored, *Conflict, *Moved or, if the platform does not answer, with
// plat.ErrUnavailable or plat.ErrUncertain.
func (p *Publisher) Publish(ctx context.Context, request Request) (Result, error) {
	m := New(request)
	var event Event = Begin{}
	for {
		action := m.Step(p.now(), event)
		switch a := action.(type) {
		case Finish:
			return a.Result, nil
		case Fail:
			return Result{}, fmt.Errorf("publish: %w", a.Err)
		}
		next, err := p.Do(ctx, action)
		if err != nil {
			return Result{}, fmt.Errorf("publish: %w", err)
		}
		event = next
	}
}

// Do carries out one action of a machine and gives what came of it. It fails
// if ctx ends during a pause.
func (p *Publisher) Do(ctx context.Context, action Action) (Event, error) {
	switch a := action.(type) {
	case ReadHead:
		if err := p.sleep(ctx, a.After); err != nil {
			return nil, err
		}
		return p.readHead(ctx), nil
	case ReadParts:
		return p.readParts(ctx, a), nil
	case WriteParts:
		return p.writeParts(ctx, a), nil
	case WriteHead:
		return p.writeHead(ctx, a), nil
	}
	return nil, fmt.Errorf("action %T can't be carried out", action)
}

// CurrentHead gives the head in force and its version, or version 0 if nothing
// was ever published.
func CurrentHead(ctx context.Context, platform plat.Platform) (plat.Head, plat.Version, error) {
	object, err := platform.Get(ctx, plat.ClassConfig, plat.HeadKey)
	if errors.Is(err, plat.ErrNotFound) {
		return plat.Head{}, 0, nil
	}
	if err != nil {
		return plat.Head{}, 0, fmt.Errorf("read the head: %w", err)
	}
	var head plat.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return plat.Head{}, 0, fmt.Errorf("head in force is not valid JSON: %w", err)
	}
	return head, object.Version, nil
}

func (p *Publisher) readHead(ctx context.Context) Event {
	head, version, err := CurrentHead(ctx, p.platform)
	if err != nil {
		return Failed{Err: err}
	}
	return HeadRead{Head: head, Version: version}
}

func (p *Publisher) readParts(ctx context.Context, a ReadParts) Event {
	texts := map[string][]byte{}
	for _, digest := range a.Digests {
		object, err := p.platform.Get(ctx, plat.ClassConfig, partKey(digest))
		if err != nil {
			return Failed{Err: fmt.Errorf("read a file in force: %w", err)}
		}
		texts[digest] = object.Value
	}
	return PartsRead{Texts: texts}
}

// writeParts takes a conflict for success, since a part's key is its digest.
func (p *Publisher) writeParts(ctx context.Context, a WriteParts) Event {
	for _, f := range a.Files {
		key := partKey(config.TextDigest(f.Text))
		_, err := p.platform.Put(ctx, plat.ClassConfig, key, f.Text, 0)
		if err != nil && !errors.Is(err, plat.ErrConflict) {
			return Failed{Err: fmt.Errorf("write file %q: %w", f.Path, err)}
		}
	}
	return PartsWritten{}
}

func (p *Publisher) writeHead(ctx context.Context, a WriteHead) Event {
	text, err := json.Marshal(a.Head)
	if err != nil {
		return Failed{Err: fmt.Errorf("write the head: %w", err)}
	}
	_, err = p.platform.Put(ctx, plat.ClassConfig, plat.HeadKey, text, a.Expect)
	switch {
	case err == nil:
		return HeadWritten{}
	case errors.Is(err, plat.ErrConflict):
		return HeadMoved{}
	case errors.Is(err, plat.ErrUnavailable):
		return Failed{Err: err}
	default:
		return HeadUnknown{}
	}
}

func partKey(digest string) plat.Key {
	return plat.PartPrefix + plat.Key(digest)
}
