// Command standins plays the cases of review/: it starts stand-ins of the state service, the cloud, the
// workers and the users, and the project's own controllers as processes, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest that a case may take.
const limit = 119 * time.Second

// caseFunc plays a case on a running deployment. It returns why the rule was broken, "" if it held. The
// error is not nil if the case couldn't run.
type caseFunc func(sc *scene) (broken string, err error)

type testCase struct {
	site site
	play caseFunc
}

func cases() map[string]testCase {
	return map[string]testCase{
		"load":   {annex(), playLoad},
		"sick":   {annex(), playSick},
		"outage": {annexNext(), playOutage},

		// Not cases; see REPORT.md.
		"head": {annex(), playHead},
		"type": {annex(), playType},
		"line": {annex(), playLine},
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT FOLDER")
		return 2
	}
	chosen, ok := cases()[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Log("test", "case %s, site %s, disruption %v", os.Args[1], chosen.site.name, trouble)
	done := make(chan int, 1)
	var sc *scene
	started := make(chan struct{})
	go func() {
		var err error
		sc, err = begin(chosen.site, rec, root, dir, trouble)
		close(started)
		if err != nil {
			rec.Log("test", "the case couldn't run: %v", err)
			done <- 2
			return
		}
		broken, err := chosen.play(sc)
		switch {
		case err != nil:
			rec.Log("test", "the case couldn't run: %v", err)
			done <- 2
		case broken != "":
			rec.Log("RESULT", "broken: %s", broken)
			done <- 1
		default:
			rec.Log("RESULT", "held")
			done <- 0
		}
	}()
	code := 2
	select {
	case code = <-done:
	case <-time.After(limit - time.Second):
		rec.Log("test", "out of time")
	}
	<-started
	if sc != nil {
		sc.end()
	}
	return code
}
