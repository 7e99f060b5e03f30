package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"rillflow/internal/goldentest"
)

// Verbs, arguments and flags keep their names, defaults and environment variables. Most
// of the names are those of Go fields.
func TestGoldenCommandLine(t *testing.T) {
	var c cli
	k, err := kong.New(&c, kong.Name("rillflow"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var walk func(n *kong.Node)
	walk = func(n *kong.Node) {
		fmt.Fprintf(&out, "%s\n", n.FullPath())
		for _, v := range n.Positional {
			fmt.Fprintf(&out, "  <%s> required %v, default %q\n", v.Name, v.Required, v.Default)
		}
		for _, f := range n.Flags {
			fmt.Fprintf(&out, "  --%s %s required %v, default %q, environment %q, placeholder %q\n",
				f.Name, f.Target.Kind(), f.Required, f.Default, f.Envs, f.PlaceHolder)
		}
		for _, child := range n.Children {
			walk(child)
		}
	}
	walk(k.Model.Node)
	goldentest.Check(t, "commandline.txt", out.String())
}
