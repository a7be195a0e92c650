package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/input"
)

// kind names the tables of one sort of object, as in [team.ledger].
type kind string

// The kinds of tables. The overlay kinds hold plain keys and change objects
// that are declared elsewhere.
const (
	kindTeam      kind = "team"
	kindModel     kind = "model"
	kindService   kind = "service"
	kindZone      kind = "zone"
	kindEndpoint  kind = "endpoint"
	kindRollout   kind = "rollout"
	kindOut       kind = "out"
	kindHold      kind = "hold"
	kindStart     kind = "start"
	kindDefault   kind = "default"
	kindWithdrawn kind = "withdrawn"
)

func objectKinds() []kind {
	return []kind{kindTeam, kindModel, kindService, kindZone, kindEndpoint, kindRollout}
}

func overlayKinds() []kind {
	return []kind{kindOut, kindHold, kindStart, kindDefault, kindWithdrawn}
}

// part is one file's share of an object's table.
type fragment struct {
	document *input.Document
	table    map[string]any
}

// object is one declared thing, from one file or, for a team, several.
type object struct {
	kind      kind
	name      string
	fragments []fragment
}

// path gives the keys that lead to one of the object's keys.
func (o *object) path(keys ...string) []string {
	return append([]string{string(o.kind), o.name}, keys...)
}

// where gives the part that writes a key, or the first one.
func (o *object) fragmentWith(key string) fragment {
	for _, p := range o.fragments {
		if _, ok := p.table[key]; ok {
			return p
		}
	}
	return o.fragments[0]
}

// problem makes a problem of one of the object's keys.
func (o *object) problem(key, what, accepted string) Problem {
	return o.fragmentWith(key).document.Problem(o.path(key), what, accepted)
}

// tables holds what the files declare, by kind and name.
type tableSet struct {
	objects  map[kind]map[string]*object
	problems Problems
}

func newTableSet() *tableSet {
	t := &tableSet{objects: map[kind]map[string]*object{}}
	for _, k := range append(objectKinds(), overlayKinds()...) {
		t.objects[k] = map[string]*object{}
	}
	return t
}

// add takes in one parsed file.
func (t *tableSet) addDocument(d *input.Document) {
	for top, value := range d.Root {
		k := kind(top)
		if _, known := t.objects[k]; !known {
			t.problems = append(t.problems, d.Problem([]string{top}, "unknown table", tableNames()))
			continue
		}
		byName, ok := value.(map[string]any)
		if !ok {
			t.problems = append(t.problems, d.Problem([]string{top}, "not a table", fmt.Sprintf("[%s.NAME]", top)))
			continue
		}
		for key, inner := range byName {
			t.addTable(d, k, key, inner)
		}
	}
}

func (t *tableSet) addTable(d *input.Document, k kind, key string, value any) {
	path := []string{string(k), key}
	table, ok := value.(map[string]any)
	if isOverlay(k) {
		table, ok = map[string]any{key: value}, true
	}
	if !ok {
		t.problems = append(t.problems, d.Problem(path, "not a table", fmt.Sprintf("[%s.NAME]", k)))
		return
	}
	if !validKey(k, key) {
		t.problems = append(t.problems, d.Problem(path, fmt.Sprintf("name %q is not accepted", key), acceptedKey(k)))
		return
	}
	o := t.objects[k][key]
	if o == nil {
		o = &object{kind: k, name: key}
		t.objects[k][key] = o
	}
	t.checkRedefinitions(o, d, table)
	o.fragments = append(o.fragments, fragment{document: d, table: table})
}

// checkDoubles reports what a second file declares again.
func (t *tableSet) checkRedefinitions(o *object, d *input.Document, table map[string]any) {
	for _, p := range o.fragments {
		if o.kind != kindTeam {
			t.problems = append(t.problems, redefinition(d, p, o.path()))
			return
		}
		for key := range table {
			if _, again := p.table[key]; again {
				t.problems = append(t.problems, redefinition(d, p, o.path(key)))
			}
		}
	}
}

func redefinition(d *input.Document, first fragment, path []string) Problem {
	what := fmt.Sprintf("already defined in %s:%d", first.document.Path, first.document.Line(path...))
	return d.Problem(path, what, "one file that defines it")
}

// sorted gives the objects of a kind by name.
func (t *tableSet) sorted(k kind) []*object {
	all := make([]*object, 0, len(t.objects[k]))
	for _, o := range t.objects[k] {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// read fills v from all parts of an object.
func decodeObject[T any](t *tableSet, o *object, fields []input.Field[T], v *T) {
	missing := map[string]bool{}
	for _, p := range o.fragments {
		for key := range p.table {
			missing[key] = true
		}
	}
	for i, p := range o.fragments {
		mine := make([]input.Field[T], len(fields))
		for j, f := range fields {
			if i > 0 || missing[f.Name] {
				f.Needed = false
			}
			mine[j] = f
		}
		t.problems = append(t.problems, input.Read(p.document, o.path(), p.table, mine, v)...)
	}
}

func isOverlay(k kind) bool {
	for _, o := range overlayKinds() {
		if o == k {
			return true
		}
	}
	return false
}

func validKey(k kind, key string) bool {
	if k == kindWithdrawn {
		return isRelease(key)
	}
	return input.IsName(key)
}

func acceptedKey(k kind) string {
	if k == kindWithdrawn {
		return "model@version"
	}
	return input.AcceptedName
}

func tableNames() string {
	var all []string
	for _, k := range objectKinds() {
		all = append(all, fmt.Sprintf("[%s.NAME]", k))
	}
	for _, k := range overlayKinds() {
		all = append(all, fmt.Sprintf("[%s]", k))
	}
	return strings.Join(all, ", ")
}
