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

// Publisher publishes configurations to a platform.
type Publisher struct {
	platform plat.Platform
	now      func() time.Time
	sleep    func(context.Context, time.Duration) error
}

// NewPublisher returns a publisher for the platform. It reads the clock with now
// and waits with sleep, which must return an error when ctx ends.
func NewPublisher(platform plat.Platform, now func() time.Time, sleep func(context.Context, time.Duration) error) *Publisher {
	return &Publisher{platform: platform, now: now, sleep: sleep}
}

// Publish publishes a change. It returns an error that wraps *InvalidError,
// *RestoreError, *ConflictError or *GenerationError, or plat.ErrUnavailable or
// plat.ErrUncertain if the platform does not respond.
func (p *Publisher) Publish(ctx context.Context, request Request) (Result, error) {
	m := NewMachine(request)
	var event Event = Start{}
	for {
		action := m.Step(p.now(), event)
		switch a := action.(type) {
		case Finish:
			return a.Result, nil
		case Fail:
			return Result{}, fmt.Errorf("publish: %w", a.Err)
		}
		next, err := p.Execute(ctx, action)
		if err != nil {
			return Result{}, fmt.Errorf("publish: %w", err)
		}
		event = next
	}
}

// Execute performs one action of a machine and returns the resulting event. It
// returns an error if ctx ends during a delay.
func (p *Publisher) Execute(ctx context.Context, action Action) (Event, error) {
	switch a := action.(type) {
	case ReadHead:
		if err := p.sleep(ctx, a.Delay); err != nil {
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
	return nil, fmt.Errorf("unknown action type %T", action)
}

// CurrentHead returns the current head and its version, or version 0 if nothing
// has been published yet.
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
		return plat.Head{}, 0, fmt.Errorf("current head is not valid JSON: %w", err)
	}
	return head, object.Version, nil
}

func (p *Publisher) readHead(ctx context.Context) Event {
	head, version, err := CurrentHead(ctx, p.platform)
	if err != nil {
		return CallFailed{Err: err}
	}
	return HeadRead{Head: head, Version: version}
}

func (p *Publisher) readParts(ctx context.Context, a ReadParts) Event {
	texts := map[string][]byte{}
	for _, digest := range a.Digests {
		object, err := p.platform.Get(ctx, plat.ClassConfig, partKey(digest))
		if err != nil {
			return CallFailed{Err: fmt.Errorf("read a published file: %w", err)}
		}
		texts[digest] = object.Value
	}
	return PartsRead{Texts: texts}
}

// writeParts ignores conflicts: the key of a part is the digest of its content,
// so an existing part has the same content.
func (p *Publisher) writeParts(ctx context.Context, a WriteParts) Event {
	for _, f := range a.Files {
		key := partKey(config.TextDigest(f.Text))
		_, err := p.platform.Put(ctx, plat.ClassConfig, key, f.Text, 0)
		if err != nil && !errors.Is(err, plat.ErrConflict) {
			return CallFailed{Err: fmt.Errorf("write file %q: %w", f.Path, err)}
		}
	}
	return PartsWritten{}
}

func (p *Publisher) writeHead(ctx context.Context, a WriteHead) Event {
	text, err := json.Marshal(a.Head)
	if err != nil {
		return CallFailed{Err: fmt.Errorf("write the head: %w", err)}
	}
	_, err = p.platform.Put(ctx, plat.ClassConfig, plat.HeadKey, text, a.Expect)
	switch {
	case err == nil:
		return HeadWritten{}
	case errors.Is(err, plat.ErrConflict):
		return HeadConflict{}
	case errors.Is(err, plat.ErrUnavailable):
		return CallFailed{Err: err}
	default:
		return HeadWriteUncertain{}
	}
}

func partKey(digest string) plat.Key {
	return plat.PartPrefix + plat.Key(digest)
}
