package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	binary := flag.String("binary", "target/rillflow", "the controllers' program")
	record := flag.String("record", "", "the file to write")
	name := flag.String("case", "", "the case to run")
	hunt := flag.Int64("hunt", 0, "play a day by lot with this seed")
	shapes := flag.Int64("shapes", 0, "play jobs of many shapes with this seed")
	seconds := flag.Float64("seconds", 90, "length of a day by lot")
	scale := flag.Float64("scale", 0.2, "length of the deployment's times in a day by lot")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "rillflow-case-")
	if err != nil {
		fatal(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("files in", dir)
	}
	go endOnSignal(dir)
	out := os.Stdout
	if *record != "" {
		if out, err = os.Create(*record); err != nil {
			fatal(err)
		}
	}
	var code int
	if *shapes != 0 {
		code = runShapes(*binary, dir, out, uint64(*shapes), *seconds, *scale, trouble)
	} else if *hunt != 0 {
		code = runHunt(*binary, dir, out, uint64(*hunt), *seconds, *scale, trouble)
	} else if run := cases[*name]; run != nil {
		code = run(*binary, dir, out, trouble)
	} else {
		fatal(fmt.Errorf("no case %q", *name))
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	running.killAll()
	os.Exit(code)
}
