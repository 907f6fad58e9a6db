package mangoplatform

import (
	"encoding/json"
	"errors"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBody leaves room for the base64 form of the largest value.
const maxBodyBytes = 2 * maxValueBytes

// decodeBody reads a JSON body and replies with the fault when it is invalid.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "TooLarge", "body is above 2 MiB")
		return false
	}
	writeError(w, http.StatusBadRequest, "Invalid", err.Error())
	return false
}

func writeReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller has gone, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
