// Command served reads entries of the benchmark's journal and checks, for each simulated day,
// the served share of each class of jobs, of each team and of the largest jobs of a class: the
// part of the requested work that the benchmark counts as served. It exits with 1 if any
// share is under a half, which fails the day, and with 2 if an entry cannot be read.
//
//	go run ./tools/served [ENTRY.json ...]     without arguments: the newest entry in journal/
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// minServedShare is the share below which a day fails.
const minServedShare = 0.5

// entry holds the fields of a journal entry that the check needs.
type entry struct {
	Site string `json:"site"`
	Days []day  `json:"days"`
}

type day struct {
	Name   string   `json:"name"`
	Served []served `json:"served"`
}

// served is the result of a class or team: its name, its part of all work requested on the
// day, and the share of its own work that was served.
type served struct {
	Name         string
	Asked, Share float64
}

// UnmarshalJSON decodes the benchmark's form, an array [name, asked, share].
func (s *served) UnmarshalJSON(data []byte) error {
	var values []json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	if len(values) != 3 {
		return fmt.Errorf("served: got %d values, want 3", len(values))
	}
	return errors.Join(
		json.Unmarshal(values[0], &s.Name), json.Unmarshal(values[1], &s.Asked),
		json.Unmarshal(values[2], &s.Share),
	)
}

// check prints the lowest served share of each day of an entry and every share below
// minServedShare, and reports whether there is none of these. A day without any class or
// team fails as well, as nothing was measured.
func check(w io.Writer, data []byte) (passed bool, err error) {
	var journalEntry entry
	if err := json.Unmarshal(data, &journalEntry); err != nil {
		return false, err
	}
	if len(journalEntry.Days) == 0 {
		return false, errors.New("the entry has no days")
	}
	passed = true
	for _, day := range journalEntry.Days {
		if len(day.Served) == 0 {
			fmt.Fprintf(w, "%s %s: nothing is told of what was served\n", journalEntry.Site, day.Name)
			passed = false
			continue
		}
		worst := slices.MinFunc(day.Served, func(a, b served) int { return int(1e6 * (a.Share - b.Share)) })
		fmt.Fprintf(
			w, "%s %s: least served %s, %.3f of what it asked (%.3f of all)\n",
			journalEntry.Site, day.Name, worst.Name, worst.Share, worst.Asked,
		)
		for _, group := range day.Served {
			if group.Share < minServedShare {
				fmt.Fprintf(
					w, "FAILED %s %s: %s served %.3f of what it asked (%.3f of all)\n",
					journalEntry.Site, day.Name, group.Name, group.Share, group.Asked,
				)
				passed = false
			}
		}
	}
	return passed, nil
}

func main() {
	files := os.Args[1:]
	if len(files) == 0 {
		entries, err := filepath.Glob("journal/*.json")
		if err != nil || len(entries) == 0 {
			fmt.Fprintln(os.Stderr, "served: no entry in journal/")
			os.Exit(2)
		}
		files = []string{slices.Max(entries)} // the names begin with the time of the run
	}
	exitCode := 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		passed := false
		if err == nil {
			passed, err = check(os.Stdout, data)
		}
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "served: %s: %v\n", file, err)
			exitCode = 2
		case !passed:
			exitCode = max(exitCode, 1)
		}
	}
	os.Exit(exitCode)
}
