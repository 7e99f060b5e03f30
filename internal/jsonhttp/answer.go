package jsonhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Answer writes a message as the response to a request. A message that cannot be encoded is a bug;
// the response then has status 500.
func Answer(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	AnswerBody(w, status, body)
}

// AnswerBody writes an encoded message as the response to a request.
func AnswerBody(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
