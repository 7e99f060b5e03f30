package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"rillflow/internal/goldentest"
)

// Scripts depend on the names, defaults and environment variables of commands, arguments and
// flags. Most of the names come from Go fields, so that renaming a field could change them.
func TestGoldenCommandLine(t *testing.T) {
	var commands cli
	parser, err := kong.New(&commands, kong.Name("rillflow"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var walk func(node *kong.Node)
	walk = func(node *kong.Node) {
		fmt.Fprintf(&out, "%s\n", node.FullPath())
		for _, argument := range node.Positional {
			fmt.Fprintf(&out, "  <%s> required %v, default %q\n", argument.Name, argument.Required, argument.Default)
		}
		for _, flag := range node.Flags {
			fmt.Fprintf(&out, "  --%s %s required %v, default %q, environment %q, placeholder %q\n",
				flag.Name, flag.Target.Kind(), flag.Required, flag.Default, flag.Envs, flag.PlaceHolder)
		}
		for _, child := range node.Children {
			walk(child)
		}
	}
	walk(parser.Model.Node)
	goldentest.Check(t, "commandline.txt", out.String())
}
