// Package docs checks that the documents name the code as it is: every package path,
// file, identifier and test that they mention must exist. It has tests only.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// root is the module's folder, from this one.
const root = "../.."

// code is what is declared in the module.
type code struct {
	packages map[string]bool // by name
	declared map[string]bool // "package.Identifier" and "package.Type.Member"
	tests    map[string]bool // tests and benchmarks, by name
}

// readCode parses all of the module's Go files.
func readCode(t *testing.T) *code {
	t.Helper()
	c := &code{packages: map[string]bool{}, declared: map[string]bool{}, tests: map[string]bool{}}
	for _, dir := range []string{"cmd", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				c.add(f, strings.HasSuffix(path, "_test.go"))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func (c *code) add(f *ast.File, test bool) {
	pkg := f.Name.Name
	c.packages[pkg] = true
	for _, decl := range f.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			name := d.Name.Name
			if test && d.Recv == nil {
				c.tests[name] = true
			}
			if d.Recv != nil {
				name = receiver(d.Recv.List[0].Type) + "." + name
			}
			c.declared[pkg+"."+name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				c.addSpec(pkg, spec)
			}
		}
	}
}

func (c *code) addSpec(pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, n := range s.Names {
			c.declared[pkg+"."+n.Name] = true
		}
	case *ast.TypeSpec:
		c.declared[pkg+"."+s.Name.Name] = true
		var members *ast.FieldList
		switch typ := s.Type.(type) {
		case *ast.StructType:
			members = typ.Fields
		case *ast.InterfaceType:
			members = typ.Methods
		default:
			return
		}
		for _, m := range members.List {
			for _, n := range m.Names {
				c.declared[pkg+"."+s.Name.Name+"."+n.Name] = true
			}
		}
	}
}

// receiver is the name of a method's type.
func receiver(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiver(e.X)
	case *ast.IndexExpr:
		return receiver(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

var (
	quoted     = regexp.MustCompile("`([^`\n]+)`")
	fenced     = regexp.MustCompile("(?ms)^```.*?^```")
	pathForm   = regexp.MustCompile(`^(?:cmd|internal|tools|deploy|docs)/[\w./-]+$`)
	identForm  = regexp.MustCompile(`^([a-z]+)((?:\.[A-Za-z]\w*){1,2})(?:\(\))?$`)
	testForm   = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	statusPath = regexp.MustCompile(`^(?:leading|history)\.`) // fields of the status page
)

// faults lists what a document names that is not there.
func (c *code) faults(text string) []string {
	var out []string
	for _, m := range quoted.FindAllStringSubmatch(fenced.ReplaceAllString(text, ""), -1) {
		name := m[1]
		if pathForm.MatchString(name) {
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				out = append(out, fmt.Sprintf("`%s`: no such path", name))
			}
			continue
		}
		id := identForm.FindStringSubmatch(name)
		if id == nil || !c.packages[id[1]] || statusPath.MatchString(name) || c.declared[id[1]+id[2]] {
			continue
		}
		if _, err := os.Stat(filepath.Join(root, "docs", name)); err != nil {
			out = append(out, fmt.Sprintf("`%s`: not declared", name))
		}
	}
	for _, name := range testForm.FindAllString(text, -1) {
		if !c.tests[name] {
			out = append(out, name+": no such test")
		}
	}
	return out
}

// The documents that speak of the code as it is. What is under docs/incidents, and
// docs/results.md, tell of days that were, with the names of then.
func TestDocumentsNameTheCode(t *testing.T) {
	c := readCode(t)
	files, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range append(files, filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md")) {
		if filepath.Base(path) == "results.md" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range c.faults(string(text)) {
			t.Errorf("%s: %s", filepath.Base(path), f)
		}
	}
}

// Every package is in the README's layout.
func TestLayoutIsWhole(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range []string{"cmd/*", "internal/*", "tools/*"} {
		dirs, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, dir := range dirs {
			rel, err := filepath.Rel(root, dir)
			if err != nil {
				t.Fatal(err)
			}
			if name := filepath.ToSlash(rel); !strings.Contains(string(text), "| `"+name+"` |") {
				t.Errorf("%s has no line in the layout", name)
			}
		}
	}
}

var layerRow = regexp.MustCompile(`(?m)^\| (\d+) \| (.*) \|$`)

// The layers of docs/architecture.md are those of the code: each package is in one, and
// imports only from those below.
func TestLayers(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	layers := make(map[string]int)
	for _, row := range layerRow.FindAllStringSubmatch(string(text), -1) {
		for _, name := range quoted.FindAllStringSubmatch(row[2], -1) {
			if layers[name[1]], err = strconv.Atoi(row[1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	files, err := filepath.Glob(filepath.Join(root, "internal/*/*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") || strings.HasPrefix(filepath.Base(filepath.Dir(path)), "goldentest") {
			continue
		}
		name := "internal/" + filepath.Base(filepath.Dir(path))
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		if layers[name] == 0 && name != "internal/sim" {
			t.Errorf("%s is in no layer", name)
		}
		for _, imp := range f.Imports {
			used, ours := strings.CutPrefix(strings.Trim(imp.Path.Value, `"`), "rillflow/")
			if ours && layers[used] >= layers[name] {
				t.Errorf("%s of layer %d imports %s of layer %d", name, layers[name], used, layers[used])
			}
		}
	}
}

var sectionForm = regexp.MustCompile(`docs/(\w+\.md), "([^"]+)"`)

// A section that one document names in another is there.
func TestSections(t *testing.T) {
	var files []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/incidents/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		flat := strings.Join(strings.Fields(string(text)), " ")
		for _, ref := range sectionForm.FindAllStringSubmatch(flat, -1) {
			other, err := os.ReadFile(filepath.Join(root, "docs", ref[1]))
			if err != nil {
				t.Errorf("%s: %v", path, err)
			}
			heading, lead := "# "+ref[2]+"\n", "**"+ref[2]+".**"
			if !strings.Contains(string(other), heading) && !strings.Contains(string(other), lead) {
				t.Errorf("%s: docs/%s has no section %q", path, ref[1], ref[2])
			}
		}
	}
}

// logged calls f with each message that a Go file logs at the level info or above.
func logged(t *testing.T, path string, f func(message string)) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		literal, text := call.Args[0].(*ast.BasicLit)
		if !ok || !text || literal.Kind != token.STRING {
			return true
		}
		switch method.Sel.Name {
		case "Info", "Warn", "Error":
			message, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			f(message)
		}
		return true
	})
}

// Every log message from the level info on is in docs/operations.md.
func TestLogMessages(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "operations.md"))
	if err != nil {
		t.Fatal(err)
	}
	section, _, _ := strings.Cut(string(text), "\n### Messages until")
	files, err := filepath.Glob(filepath.Join(root, "internal/*/*.go"))
	if err != nil {
		t.Fatal(err)
	}
	messages := 0
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		logged(t, path, func(message string) {
			messages++
			if !strings.Contains(section, "| `"+message+"` |") {
				t.Errorf("%s logs %q, which docs/operations.md does not list", path, message)
			}
		})
	}
	if messages < 20 {
		t.Errorf("%d messages found: the check shows nothing", messages)
	}
}

// The check itself finds what is wrong.
func TestFaultsAreFound(t *testing.T) {
	c := readCode(t)
	for text, want := range map[string]int{
		"`internal/docs` and `docs.code.faults` and `docs.root`, `docs.code.tests`": 0,
		"`internal/nowhere`":               1,
		"`docs.nothing`":                   1,
		"`docs.code.nothing()`":            1,
		"TestNothingOfTheKind":             1,
		"TestFaultsAreFound, `other.Word`": 0,
		"```\n`internal/nowhere`\n```":     0,
	} {
		if got := c.faults(text); len(got) != want {
			t.Errorf("%q: %q", text, got)
		}
	}
}
