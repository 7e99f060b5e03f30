package sim

import (
	"encoding/json"
	"net/http"
	"strconv"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

// Kinds of data loss in the store. Controllers can detect them only from later
// responses of the store.
const (
	allKeysLost    = "all keys, generation back to 1"
	restored       = "back to some time ago, generation too"
	someKeysLost   = "a third of the keys"
	valueCorrupted = "a value"
)
