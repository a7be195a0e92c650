package publsh_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

// lossy is a platform whose writes can fail without effect, take effect with a
// lost reply, or take effect later.
type lossy struct {
	plat.Platform
	t       *rapid.T
	delayed []func()
	heads   []plat.Head // every head that took effect
}

func (l *lossy) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	write := func() (plat.Version, error) {
		version, err := l.Platform.Put(ctx, class, key, value, expect)
		if err == nil && key == plat.HeadKey {
			var head plat.Head
			if err := json.Unmarshal(value, &head); err != nil {
				l.t.Fatal(err)
			}
			l.heads = append(l.heads, head)
		}
		return version, err
	}
	switch rapid.SampledFrom([]string{"fine", "fine", "fine", "away", "lost", "late"}).Draw(l.t, "write") {
	case "away":
		return 0, plat.ErrUnavailable
	case "lost":
		_, _ = write()
		return 0, plat.ErrUncertain
	case "late":
		l.delayed = append(l.delayed, func() { _, _ = write() })
		return 0, plat.ErrUncertain
	}
	return write()
}

// applyDelayed applies one delayed write.
func (l *lossy) applyDelayed(i int) {
	write := l.delayed[i]
	l.delayed = append(l.delayed[:i:i], l.delayed[i+1:]...)
	write()
}

// writer is one operator's publication in progress.
type writer struct {
	name      string
	files     []config.File
	machine   *publsh.Machine
	event     publsh.Event
	result    *publsh.Result
	err       error
	baseHeads int // number of heads when it started
}

func (w *writer) done() bool { return w.result != nil || w.err != nil }

// step performs one step of the machine and executes the requested action.
func (w *writer) step(t *rapid.T, p *publsh.Publisher) {
	switch a := w.machine.Step(epoch, w.event).(type) {
	case publsh.Finish:
		w.result = &a.Result
	case publsh.Fail:
		w.err = a.Err
	default:
		event, err := p.Execute(context.Background(), a)
		if err != nil {
			t.Fatal(err)
		}
		w.event = event
	}
}

func (w *writer) includedIn(head plat.Head) bool {
	digests := map[string]string{}
	for _, f := range head.Files {
		digests[f.Path] = f.Digest
	}
	for _, f := range w.files {
		if digests[f.Path] != config.TextDigest(f.Text) {
			return false
		}
	}
	return true
}

// TestRace interleaves the steps of concurrent publications on a lossy platform.
// It guards against heads with missing parts or generations, lost updates, and
// publications that report a wrong result.
func TestRace(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		l := &lossy{Platform: stand.NewStore(now), t: t}
		p := publsh.NewPublisher(l, now, noSleep)
		shared := rapid.Bool().Draw(t, "same file")
		var writers []*writer
		for i := range rapid.IntRange(2, 3).Draw(t, "operators") {
			name := fmt.Sprintf("w%d", i)
			files := []config.File{team(name, "1")}
			if shared {
				files = append(files, team("both", fmt.Sprint(i+1)))
			}
			request := publsh.Request{Change: publsh.Tree{Files: files}, Operator: name, Nonce: name}
			writers = append(writers, &writer{name: name, files: files, machine: publsh.NewMachine(request), event: publsh.Start{}})
		}
		for running := len(writers); running > 0; {
			if len(l.delayed) > 0 && rapid.Bool().Draw(t, "apply delayed") {
				l.applyDelayed(rapid.IntRange(0, len(l.delayed)-1).Draw(t, "delayed write"))
				continue
			}
			w := writers[rapid.IntRange(0, len(writers)-1).Draw(t, "writer")]
			if w.done() {
				continue
			}
			if _, first := w.event.(publsh.Start); first {
				w.baseHeads = len(l.heads)
			}
			w.step(t, p)
			if w.done() {
				running--
			}
		}
		checkHeads(t, l, writers)
		for _, w := range writers {
			checkReport(t, l, w)
		}
	})
}

// fixSeed sets a fixed seed for rapid, unless a seed is given by flag.
func fixSeed(t *testing.T) {
	seed := flag.Lookup("rapid.seed").Value
	if seed.String() == "0" {
		if err := seed.Set("20260102"); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("rapid seed %s", seed)
}

func checkHeads(t *rapid.T, l *lossy, writers []*writer) {
	for i, head := range l.heads {
		if head.Generation != ident.Generation(i+1) {
			t.Fatalf("head %d has generation %d", i, head.Generation)
		}
		if _, err := publsh.Fetch(context.Background(), l.Platform, head); err != nil {
			t.Fatal(err)
		}
	}
	for _, w := range writers {
		included := false
		for _, head := range l.heads {
			own := w.files[:1] // only this operator writes its own file
			now := (&writer{files: own}).includedIn(head)
			if included && !now {
				t.Fatalf("generation %d lost the file of %s", head.Generation, w.name)
			}
			included = now
		}
	}
}

func checkReport(t *rapid.T, l *lossy, w *writer) {
	writes := 0
	for _, head := range l.heads {
		if head.Nonce == w.name {
			writes++
		}
	}
	if writes > 1 {
		t.Fatalf("%s published %d generations", w.name, writes)
	}
	var conflict *publsh.ConflictError
	switch {
	case w.result != nil:
		if !w.includedIn(l.heads[w.result.Generation-1]) {
			t.Fatalf("%s reports generation %d, which lacks its files", w.name, w.result.Generation)
		}
	case errors.As(w.err, &conflict) && !conflict.Uncertain:
		if writes > 0 {
			t.Fatalf("%s reports a conflict, but its change was published", w.name)
		}
	}
}
