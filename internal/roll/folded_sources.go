package roll

// maxFoldedSources limits the folded sources that are remembered. Late entries
// of a remembered source are not counted again; the oldest are evicted first.
const maxFoldedSources = 4096

// foldedSources is a bounded set of the sources whose counters were folded.
type foldedSources struct {
	members map[Source]struct{}
	order   []Source // ring buffer, the oldest at index oldest
	oldest  int
}

func newFoldedSources() *foldedSources {
	return &foldedSources{members: map[Source]struct{}{}}
}

func (f *foldedSources) contains(source Source) bool {
	_, ok := f.members[source]
	return ok
}

func (f *foldedSources) add(source Source) {
	f.members[source] = struct{}{}
	if len(f.order) < maxFoldedSources {
		f.order = append(f.order, source)
		return
	}
	delete(f.members, f.order[f.oldest])
	f.order[f.oldest] = source
	f.oldest = (f.oldest + 1) % maxFoldedSources
}
