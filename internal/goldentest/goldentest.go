// Package goldentest compares test output with golden files in the tested package's
// testdata/golden, so that no format that other processes, other versions or people read
// changes unnoticed. It holds no state, and only test files may import it.
//
// `go test ./internal/<package> -run Golden -update` rewrites a package's files. Doing so
// changes a format: the commit must say which versions can still read it.
package goldentest

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Folder is the directory of golden files, relative to the package.
const Folder = "testdata/golden"

// Check compares a text with the named golden file and reports each line that differs.
func Check(t *testing.T, name, got string) {
	t.Helper()
	want := string(Read(t, name, func() []byte { return []byte(got) }))
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i); gotLine != wantLine {
			t.Errorf("%s line %d: got\n%s\nwant\n%s", name, i+1, gotLine, wantLine)
		}
	}
}

// lineAt returns a line, or a placeholder beyond the last one.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// Read returns the content of the named golden file. With -update it first writes the
// generated content to the file.
func Read(t *testing.T, name string, generate func() []byte) []byte {
	t.Helper()
	path := filepath.Join(Folder, name)
	if *update {
		if err := os.MkdirAll(Folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, generate(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// JSON returns a value as JSON and checks that decoding it yields an equal value.
func JSON[T any](t *testing.T, value T) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes as %+v, error %v", data, decoded, err)
	}
	return string(data)
}

// Filled returns a value without zero fields, so that a test notices every field that isn't
// encoded. Numbers, strings and times differ from each other; slices and maps have one
// element.
func Filled[T any]() T {
	var value T
	count := 0
	fill(reflect.ValueOf(&value).Elem(), &count)
	return value
}

// fill sets a value and all exported fields below it; count makes the values differ.
func fill(value reflect.Value, count *int) {
	*count++
	switch value.Interface().(type) {
	case time.Time:
		value.Set(reflect.ValueOf(time.Unix(1_764_600_000+int64(*count), 0).UTC()))
		return
	case json.RawMessage:
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *count))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("s%d", *count))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), count)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), count)
		}
	case reflect.Map:
		key, elem := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, count)
		fill(elem, count)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), count)
			}
		}
	}
}

// Recorder is an HTTP server that records each request as a line and answers {}.
type Recorder struct {
	*httptest.Server
	mu    sync.Mutex
	lines strings.Builder
}

// NewRecorder starts a recorder and stops it at the end of the test.
func NewRecorder(t *testing.T) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	recorder.Server = httptest.NewServer(http.HandlerFunc(recorder.record))
	t.Cleanup(recorder.Close)
	return recorder
}

func (recorder *Recorder) record(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	fmt.Fprintf(&recorder.lines, "%s %s %s\n", req.Method, req.URL, body)
	io.WriteString(w, "{}")
}

// Addr returns the host and port that the recorder listens on.
func (recorder *Recorder) Addr() string { return recorder.Listener.Addr().String() }

// Requests returns a line for each request so far: method, URL and body.
func (recorder *Recorder) Requests() string {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.lines.String()
}
