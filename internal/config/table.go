package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/marigoldscale/marigoldscale/internal/input"
)

// kind is the first part of a table's name, such as team in [team.ledger].
type kind string

// Kinds of tables. Tables of the overlay kinds contain plain keys and change
// objects that other tables declare.
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

// fragment is the part of an object's table that one file contains.
type fragment struct {
	document *input.Document
	table    map[string]any
}

// object is a declared object. A team can be declared in several files, any other
// object in one.
type object struct {
	kind      kind
	name      string
	fragments []fragment
}

// path returns the path of the object or of one of its keys.
func (o *object) path(keys ...string) []string {
	return append([]string{string(o.kind), o.name}, keys...)
}

// fragmentWith returns the fragment that contains a key, or the first fragment.
func (o *object) fragmentWith(key string) fragment {
	for _, f := range o.fragments {
		if _, ok := f.table[key]; ok {
			return f
		}
	}
	return o.fragments[0]
}

// problem returns a problem with one of the object's keys.
func (o *object) problem(key, message, accepted string) Problem {
	return o.fragmentWith(key).document.Problem(o.path(key), message, accepted)
}

// tableSet holds the declared objects by kind and name.
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

// addDocument adds the tables of a parsed file.
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

// checkRedefinitions reports tables, or keys of a team, that another file already
// defines.
func (t *tableSet) checkRedefinitions(o *object, d *input.Document, table map[string]any) {
	for _, f := range o.fragments {
		if o.kind != kindTeam {
			t.problems = append(t.problems, redefinition(d, f, o.path()))
			return
		}
		for key := range table {
			if _, again := f.table[key]; again {
				t.problems = append(t.problems, redefinition(d, f, o.path(key)))
			}
		}
	}
}

func redefinition(d *input.Document, first fragment, path []string) Problem {
	message := fmt.Sprintf("already defined in %s:%d", first.document.Path, first.document.Line(path...))
	return d.Problem(path, message, "one file that defines it")
}

// sorted returns the objects of a kind, sorted by name.
func (t *tableSet) sorted(k kind) []*object {
	all := make([]*object, 0, len(t.objects[k]))
	for _, o := range t.objects[k] {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// decodeObject decodes all fragments of an object into v. A required key is
// missing only if no fragment contains it.
func decodeObject[T any](t *tableSet, o *object, fields []input.Field[T], v *T) {
	present := map[string]bool{}
	for _, part := range o.fragments {
		for key := range part.table {
			present[key] = true
		}
	}
	for i, part := range o.fragments {
		fragmentFields := make([]input.Field[T], len(fields))
		for j, f := range fields {
			if i > 0 || present[f.Name] {
				f.Required = false
			}
			fragmentFields[j] = f
		}
		t.problems = append(t.problems, input.Decode(part.document, o.path(), part.table, fragmentFields, v)...)
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
