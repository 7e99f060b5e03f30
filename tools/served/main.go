// Command served reads entries of the bench's journal and tells how much of each class of
// jobs, of each team and of a class's largest jobs was served on every day played: of what was asked, the share that
// the bench counts as served. It exits with 1 if any is under a half, which fails a day,
// and with 2 if an entry cannot be read.
//
//	go run ./tools/served [ENTRY.json ...]     without a name: the newest of journal/
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

// least is the share under which a day counts as failed.
const least = 0.5

// entry is what is read of the journal.
type entry struct {
	Site string `json:"site"`
	Days []day  `json:"days"`
}

type day struct {
	Name   string   `json:"name"`
	Served []served `json:"served"`
}

// served is a class or team: its name, its share of all that was asked on the day, and
// how much of its own was served.
type served struct {
	Name         string
	Asked, Share float64
}

// UnmarshalJSON reads the triple that the bench writes.
func (s *served) UnmarshalJSON(b []byte) error {
	var v []json.RawMessage
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	if len(v) != 3 {
		return fmt.Errorf("served: %d figures, not 3", len(v))
	}
	return errors.Join(json.Unmarshal(v[0], &s.Name), json.Unmarshal(v[1], &s.Asked), json.Unmarshal(v[2], &s.Share))
}

// check prints what was served least on each day of an entry, and all that is under the
// least; it tells whether nothing is. A day that names neither class nor team proves
// nothing, and is no good either.
func check(w io.Writer, data []byte) (ok bool, err error) {
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return false, err
	}
	if len(e.Days) == 0 {
		return false, errors.New("no day was played")
	}
	ok = true
	for _, d := range e.Days {
		if len(d.Served) == 0 {
			fmt.Fprintf(w, "%s %s: nothing is told of what was served\n", e.Site, d.Name)
			ok = false
			continue
		}
		worst := slices.MinFunc(d.Served, func(a, b served) int { return int(1e6 * (a.Share - b.Share)) })
		fmt.Fprintf(
			w, "%s %s: least served %s, %.3f of what it asked (%.3f of all)\n", e.Site, d.Name, worst.Name,
			worst.Share, worst.Asked,
		)
		for _, s := range d.Served {
			if s.Share < least {
				fmt.Fprintf(
					w, "FAILED %s %s: %s served %.3f of what it asked (%.3f of all)\n", e.Site, d.Name,
					s.Name, s.Share, s.Asked,
				)
				ok = false
			}
		}
	}
	return ok, nil
}

func main() {
	files := os.Args[1:]
	if len(files) == 0 {
		all, err := filepath.Glob("journal/*.json")
		if err != nil || len(all) == 0 {
			fmt.Fprintln(os.Stderr, "served: no entry in journal/")
			os.Exit(2)
		}
		files = []string{slices.Max(all)} // their names begin with the time
	}
	code := 0
	for _, f := range files {
		data, err := os.ReadFile(f)
		ok := false
		if err == nil {
			ok, err = check(os.Stdout, data)
		}
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "served: %s: %v\n", f, err)
			code = 2
		case !ok:
			code = max(code, 1)
		}
	}
	os.Exit(code)
}
