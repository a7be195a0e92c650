package input

import (
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// File is the text of one file and the path under which problems report it.
type File struct {
	Path string
	Text []byte
}

// Document is a parsed TOML file with the line number of each key.
type Document struct {
	Path  string
	Root  map[string]any
	lines map[string]int
}

// Parse parses a TOML file. It reports a file that is not UTF-8 or a syntax
// error as its only problem, with a nil document.
func Parse(f File) (*Document, Problems) {
	if !utf8.Valid(f.Text) {
		return nil, Problems{{File: f.Path, Message: "file is not UTF-8 text", Accepted: "TOML 1.0"}}
	}
	d := &Document{Path: f.Path, Root: map[string]any{}, lines: map[string]int{}}
	if err := toml.Unmarshal(f.Text, &d.Root); err != nil {
		return nil, Problems{syntaxProblem(f.Path, err)}
	}
	d.indexLines(f.Text)
	return d, nil
}

// Line returns the line of a key; if the key is absent, the line of its nearest
// enclosing table; or 0 if that is absent, too.
func (d *Document) Line(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, ok := d.lines[joinPath(path[:n])]; ok {
			return line
		}
	}
	return 0
}

// Problem returns a problem located at the key with the given path.
func (d *Document) Problem(path []string, message, accepted string) Problem {
	return Problem{
		File:     d.Path,
		Line:     d.Line(path...),
		Key:      strings.Join(path, "."),
		Message:  message,
		Accepted: accepted,
	}
}

// indexLines records the line on which each key first appears.
func (d *Document) indexLines(text []byte) {
	p := unstable.Parser{}
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = d.indexKey(&p, nil, e.Key())
		case unstable.KeyValue:
			d.indexPair(&p, table, e)
		}
	}
}

func (d *Document) indexPair(p *unstable.Parser, table []string, pair *unstable.Node) {
	path := d.indexKey(p, table, pair.Key())
	value := pair.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			d.indexPair(p, path, it.Node())
		}
	}
}

func (d *Document) indexKey(p *unstable.Parser, table []string, it unstable.Iterator) []string {
	path := append([]string(nil), table...)
	for it.Next() {
		path = append(path, string(it.Node().Data))
		joined := joinPath(path)
		if _, seen := d.lines[joined]; !seen {
			d.lines[joined] = p.Shape(it.Node().Raw).Start.Line
		}
	}
	return path
}

// joinPath joins a path into a map key with NUL separators, because a quoted key
// may contain dots.
func joinPath(path []string) string {
	return strings.Join(path, "\x00")
}

func syntaxProblem(path string, err error) Problem {
	problem := Problem{File: path, Message: err.Error(), Accepted: "TOML 1.0"}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		problem.Line, _ = syntax.Position()
		problem.Key = strings.Join(syntax.Key(), ".")
	}
	return problem
}
