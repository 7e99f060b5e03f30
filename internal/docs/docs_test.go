// Package docs checks that the documents match the code: every package path, file,
// identifier and test that they mention must exist. It contains only tests.
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

// root is the module's directory, relative to this package.
const root = "../.."

// moduleIndex holds the names declared in the module.
type moduleIndex struct {
	packages map[string]bool // by name
	declared map[string]bool // "package.Identifier" and "package.Type.Member"
	tests    map[string]bool // tests and benchmarks, by name
}

// parseModule indexes the declarations of all Go files of the module.
func parseModule(t *testing.T) *moduleIndex {
	t.Helper()
	index := &moduleIndex{packages: map[string]bool{}, declared: map[string]bool{}, tests: map[string]bool{}}
	for _, dir := range []string{"cmd", "internal", "tools"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				index.add(file, strings.HasSuffix(path, "_test.go"))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return index
}

func (index *moduleIndex) add(file *ast.File, isTestFile bool) {
	pkg := file.Name.Name
	index.packages[pkg] = true
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			name := decl.Name.Name
			if isTestFile && decl.Recv == nil {
				index.tests[name] = true
			}
			if decl.Recv != nil {
				name = receiverType(decl.Recv.List[0].Type) + "." + name
			}
			index.declared[pkg+"."+name] = true
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				index.addSpec(pkg, spec)
			}
		}
	}
}

func (index *moduleIndex) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			index.declared[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		index.declared[pkg+"."+spec.Name.Name] = true
		var members *ast.FieldList
		switch underlying := spec.Type.(type) {
		case *ast.StructType:
			members = underlying.Fields
		case *ast.InterfaceType:
			members = underlying.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				index.declared[pkg+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverType returns the name of a method's receiver type.
func receiverType(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return receiverType(expr.X)
	case *ast.IndexExpr:
		return receiverType(expr.X)
	case *ast.Ident:
		return expr.Name
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

// faults lists the names in a document's text that don't exist in the module.
func (index *moduleIndex) faults(text string) []string {
	var faults []string
	for _, match := range quoted.FindAllStringSubmatch(fenced.ReplaceAllString(text, ""), -1) {
		name := match[1]
		if pathForm.MatchString(name) {
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				faults = append(faults, fmt.Sprintf("`%s`: no such path", name))
			}
			continue
		}
		identifier := identForm.FindStringSubmatch(name)
		if identifier == nil || !index.packages[identifier[1]] || statusPath.MatchString(name) ||
			index.declared[identifier[1]+identifier[2]] {
			continue
		}
		if _, err := os.Stat(filepath.Join(root, "docs", name)); err != nil {
			faults = append(faults, fmt.Sprintf("`%s`: not declared", name))
		}
	}
	for _, name := range testForm.FindAllString(text, -1) {
		if !index.tests[name] {
			faults = append(faults, name+": no such test")
		}
	}
	return faults
}

// The documents on the current code must not name code that was renamed or removed. Those
// in docs/incidents and docs/results.md are left out: they report past runs, with the names
// used then.
func TestDocumentsMatchTheCode(t *testing.T) {
	index := parseModule(t)
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
		for _, fault := range index.faults(string(text)) {
			t.Errorf("%s: %s", filepath.Base(path), fault)
		}
	}
}

// A new package must be added to the layout table of the README.
func TestReadmeListsEveryPackage(t *testing.T) {
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
				t.Errorf("%s is missing from the README's layout table", name)
			}
		}
	}
}

var layerRow = regexp.MustCompile(`(?m)^\| (\d+) \| (.*) \|$`)

// Every package must be in a layer of docs/architecture.md and import only packages of lower
// layers.
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
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		if layers[name] == 0 && name != "internal/sim" {
			t.Errorf("%s is in no layer", name)
		}
		for _, spec := range file.Imports {
			imported, inModule := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "rillflow/")
			if inModule && layers[imported] >= layers[name] {
				t.Errorf("%s of layer %d imports %s of layer %d", name, layers[name], imported, layers[imported])
			}
		}
	}
}

var sectionForm = regexp.MustCompile(`docs/(\w+\.md), "([^"]+)"`)

// A reference from one document to a section of another must not be broken.
func TestSectionReferences(t *testing.T) {
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
		joined := strings.Join(strings.Fields(string(text)), " ")
		for _, reference := range sectionForm.FindAllStringSubmatch(joined, -1) {
			target, err := os.ReadFile(filepath.Join(root, "docs", reference[1]))
			if err != nil {
				t.Errorf("%s: %v", path, err)
			}
			heading, boldTitle := "# "+reference[2]+"\n", "**"+reference[2]+".**"
			if !strings.Contains(string(target), heading) && !strings.Contains(string(target), boldTitle) {
				t.Errorf("%s: docs/%s has no section %q", path, reference[1], reference[2])
			}
		}
	}
}

// visitLogMessages calls visit with each message that a Go file logs at the level info or above.
func visitLogMessages(t *testing.T, path string, visit func(message string)) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		literal, isLiteral := call.Args[0].(*ast.BasicLit)
		if !ok || !isLiteral || literal.Kind != token.STRING {
			return true
		}
		switch selector.Sel.Name {
		case "Info", "Warn", "Error":
			message, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			visit(message)
		}
		return true
	})
}

// Operators look up log messages in docs/operations.md, so it must list every one at the level
// info or above.
func TestLogMessagesAreDocumented(t *testing.T) {
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
		visitLogMessages(t, path, func(message string) {
			messages++
			if !strings.Contains(section, "| `"+message+"` |") {
				t.Errorf("%s logs %q, which docs/operations.md does not list", path, message)
			}
		})
	}
	if messages < 20 {
		t.Errorf("%d log messages found, want at least 20: the check misses some", messages)
	}
}

// The check of the documents must find each kind of wrong name, or it would pass silently.
func TestCheckFindsFaults(t *testing.T) {
	index := parseModule(t)
	for text, want := range map[string]int{
		"`internal/docs` and `docs.moduleIndex.faults` and `docs.root`, `docs.moduleIndex.tests`": 0,
		"`internal/nowhere`":                 1,
		"`docs.nothing`":                     1,
		"`docs.moduleIndex.nothing()`":       1,
		"TestNothingOfTheKind":               1,
		"TestCheckFindsFaults, `other.Word`": 0,
		"```\n`internal/nowhere`\n```":       0,
	} {
		if got := index.faults(text); len(got) != want {
			t.Errorf("%q: got faults %q, want %d", text, got, want)
		}
	}
}
