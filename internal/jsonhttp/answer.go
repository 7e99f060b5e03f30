package jsonhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Answer answers a request with a message. One that cannot be encoded is a fault of the program,
// and answered as such.
func Answer(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	AnswerBody(w, status, body)
}

// AnswerBody answers a request with a message that is encoded already.
func AnswerBody(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
