package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestGlossary wants each package and each identifier that the glossary names,
// such as `fleet.Team.Target`, to exist in the code.
func TestGlossary(t *testing.T) {
	page, err := os.ReadFile("GLOSSARY.md")
	if err != nil {
		t.Fatal(err)
	}
	known := declared(t)
	named := regexp.MustCompile("package `([a-z]+)`|`(?:pkg/)?([a-z]+\\.[A-Za-z]\\w*(?:\\.[A-Z]\\w*)?)`")
	found := named.FindAllStringSubmatch(string(page), -1)
	if len(found) < 80 {
		t.Errorf("GLOSSARY.md names %d packages and identifiers, want 80 or more: has its form changed?", len(found))
	}
	for _, f := range found {
		if name := f[1] + f[2]; !known[name] {
			t.Errorf("GLOSSARY.md names %q, which is not in the code", name)
		}
	}
}

// declared returns the packages, their package-level names, and the fields and
// methods of their types, as package, package.Name and package.Name.Member.
func declared(t *testing.T) map[string]bool {
	known := map[string]bool{}
	for _, pattern := range []string{"../internal/*/*.go", "../pkg/*/*.go", "../platform/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			known[f.Name.Name] = true
			for _, d := range f.Decls {
				declare(known, f.Name.Name+".", d)
			}
		}
	}
	return known
}

func declare(known map[string]bool, prefix string, d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			known[prefix+d.Name.Name] = true
			return
		}
		receiver := d.Recv.List[0].Type
		if pointer, ok := receiver.(*ast.StarExpr); ok {
			receiver = pointer.X
		}
		if name, ok := receiver.(*ast.Ident); ok {
			known[prefix+name.Name+"."+d.Name.Name] = true
		}
	case *ast.GenDecl:
		for _, s := range d.Specs {
			switch s := s.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					known[prefix+name.Name] = true
				}
			case *ast.TypeSpec:
				known[prefix+s.Name.Name] = true
				for _, name := range members(s.Type) {
					known[prefix+s.Name.Name+"."+name] = true
				}
			}
		}
	}
}

// members returns the fields of a struct or the methods of an interface.
func members(x ast.Expr) []string {
	var list *ast.FieldList
	switch x := x.(type) {
	case *ast.StructType:
		list = x.Fields
	case *ast.InterfaceType:
		list = x.Methods
	default:
		return nil
	}
	var names []string
	for _, f := range list.List {
		for _, name := range f.Names {
			names = append(names, name.Name)
		}
	}
	return names
}
