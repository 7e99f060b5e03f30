// Package goldentest compares what tests make with files under the package's
// testdata/golden, so that nothing that other processes, versions or people read
// changes unnoticed. It owns no state, and only test files may import it.
//
// A file is written anew by `go test ./internal/<package> -run Golden -update`. To do
// so is a change of a format: say in the commit who can read it from then on.
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

var update = flag.Bool("update", false, "write the golden files anew")

// Folder is where a package's golden files are.
const Folder = "testdata/golden"

// Check compares the text with the golden file of that name, line by line.
func Check(t *testing.T, name, got string) {
	t.Helper()
	want := string(Read(t, name, func() []byte { return []byte(got) }))
	if got == want {
		return
	}
	have, expected := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(have), len(expected)) {
		if h, w := lineAt(have, i), lineAt(expected, i); h != w {
			t.Errorf("%s line %d is\n%s\nand must be\n%s", name, i+1, h, w)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// Read gives the golden file of that name. With -update it is first written with what
// make returns.
func Read(t *testing.T, name string, make func() []byte) []byte {
	t.Helper()
	path := filepath.Join(Folder, name)
	if *update {
		if err := os.MkdirAll(Folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, make(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// JSON gives the JSON text of a value, and checks that it reads back as the same value.
func JSON[T any](t *testing.T, v T) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var back T
	if err := json.Unmarshal(data, &back); err != nil || !reflect.DeepEqual(back, v) {
		t.Errorf("%s reads back as %+v, %v", data, back, err)
	}
	return string(data)
}

// Filled gives a value of which no field is zero: numbers, strings and times differ
// from each other, lists and maps have one element.
func Filled[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_764_600_000+int64(*n), 0).UTC()))
		return
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *n))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(elem, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	}
}

// Recorder is an HTTP server that notes each request as a line, and answers {}.
type Recorder struct {
	*httptest.Server
	mu  sync.Mutex
	out strings.Builder
}

// NewRecorder starts a recorder that runs as long as the test.
func NewRecorder(t *testing.T) *Recorder {
	t.Helper()
	r := &Recorder{}
	r.Server = httptest.NewServer(http.HandlerFunc(r.note))
	t.Cleanup(r.Close)
	return r
}

func (r *Recorder) note(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.out, "%s %s %s\n", req.Method, req.URL, body)
	io.WriteString(w, "{}")
}

// Addr is the host and port that the recorder listens on.
func (r *Recorder) Addr() string { return r.Listener.Addr().String() }

// Requests gives a line for each request so far.
func (r *Recorder) Requests() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out.String()
}
