package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// names lists the names of a type's fields as a format has them, with their kinds.
func names(out *strings.Builder, format, under string, typ reflect.Type) {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct || typ.PkgPath() == "encoding/xml" {
		return
	}
	for i := range typ.NumField() {
		f := typ.Field(i)
		if tag, tagged := f.Tag.Lookup(format); tag == "-" {
			continue
		} else if tagged {
			fmt.Fprintf(out, "%s%s %s\n", under, tag, f.Type.Kind())
			names(out, format, under+tag+" > ", f.Type)
		} else if f.Anonymous {
			names(out, format, under, f.Type)
		} else {
			fmt.Fprintf(out, "%suntagged %s\n", under, f.Name)
		}
	}
}

// The settings of the platform and of the operators keep their names.
func TestGoldenNames(t *testing.T) {
	var out strings.Builder
	names(&out, "toml", "", reflect.TypeFor[Settings]())
	goldentest.Check(t, "toml.txt", out.String())
	out.Reset()
	names(&out, "xml", "", reflect.TypeFor[Operator]())
	goldentest.Check(t, "xml.txt", out.String())
	have, err := elementPaths(defaults)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "defaults.txt", strings.Join(have, "\n")+"\n")
}
