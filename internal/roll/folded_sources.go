package roll

// maxFolds bounds the dead sources that are remembered, so that a late entry
// of theirs is not counted again. Older ones are forgotten first.
const maxFolds = 4096

// folds remembers the sources that were folded.
type folds struct {
	members map[Source]struct{}
	order   []Source // a ring, the oldest at next
	next    int
}

func newFolds() *folds {
	return &folds{members: map[Source]struct{}{}}
}

func (f *folds) has(source Source) bool {
	_, ok := f.members[source]
	return ok
}

func (f *folds) add(source Source) {
	f.members[source] = struct{}{}
	if len(f.order) < maxFolds {
		f.order = append(f.order, source)
		return
	}
	delete(f.members, f.order[f.next])
	f.order[f.next] = source
	f.next = (f.next + 1) % maxFolds
}
