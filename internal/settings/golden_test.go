package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// fieldNames writes a line for each field of a type: its name in the format, which is a kind of
// struct tag, and its kind.
func fieldNames(out *strings.Builder, format, prefix string, typ reflect.Type) {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct || typ.PkgPath() == "encoding/xml" {
		return
	}
	for i := range typ.NumField() {
		field := typ.Field(i)
		if tag, tagged := field.Tag.Lookup(format); tag == "-" {
			continue
		} else if tagged {
			fmt.Fprintf(out, "%s%s %s\n", prefix, tag, field.Type.Kind())
			fieldNames(out, format, prefix+tag+" > ", field.Type)
		} else if field.Anonymous {
			fieldNames(out, format, prefix, field.Type)
		} else {
			fmt.Fprintf(out, "%suntagged %s\n", prefix, field.Name)
		}
	}
}

// Renaming a setting would break the files of platforms and operators: all names must stay as
// they are.
func TestGoldenNames(t *testing.T) {
	var out strings.Builder
	fieldNames(&out, "toml", "", reflect.TypeFor[Settings]())
	goldentest.Check(t, "toml.txt", out.String())
	out.Reset()
	fieldNames(&out, "xml", "", reflect.TypeFor[Operator]())
	goldentest.Check(t, "xml.txt", out.String())
	paths, err := elementPaths(defaults)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "defaults.txt", strings.Join(paths, "\n")+"\n")
}
