package mangoplatform

import (
	"encoding/json"
	"errors"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBodyBytes bounds a request body. It leaves room for the largest value in base64.
const maxBodyBytes = 2 * maxValueBytes

// decodeBody decodes a JSON body. If that fails it replies with the error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "TooLarge", "request body is larger than 2 MiB")
		return false
	}
	writeError(w, http.StatusBadRequest, "Invalid", err.Error())
	return false
}

func writeReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error is ignored: the connection to the caller is broken, so that it could not be reported.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
