package mangoplatform

import (
	"encoding/json"
	"errors"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBody leaves room for the base64 form of the largest value.
const maxBody = 2 * maxValue

// decode reads a JSON body and replies with the fault when it is invalid.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		fail(w, http.StatusRequestEntityTooLarge, "TooLarge", "body is above 2 MiB")
		return false
	}
	fail(w, http.StatusBadRequest, "Invalid", err.Error())
	return false
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller has gone, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}

func fail(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
