package mangofault

import (
	"encoding/json"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBodyBytes bounds the body of an admin request.
const maxBodyBytes = 1 << 16

// Faults are the faults that a proxy injects. Setting them replaces all earlier ones.
type Faults struct {
	// Cut closes all connections and refuses new ones until faults without it are set.
	Cut bool
	// Freeze permanently stops the traffic of all connections that exist when it is set; later connections work.
	Freeze bool
	// CutToTarget and CutToCaller hold back the bytes of one direction, which are delivered when the fault ends.
	CutToTarget bool
	CutToCaller bool
	// DelayMs delays the bytes of each direction.
	DelayMs int64
	// Bandwidth is the limit of each direction in bytes per second, shared by all connections; 0 means no limit.
	Bandwidth int
	// DropReplies is the number of next replies to drop. The target has received the request, but the connection is closed
	// before the caller receives the reply.
	DropReplies int
}

// State holds the current faults and the counts of a proxy.
type State struct {
	Faults Faults
	// Connections counts the open connections, and Frozen those of them that are frozen.
	Connections int
	Frozen      int
	// Accepted and Dropped count the connections accepted and the replies dropped since the start.
	Accepted uint64
	Dropped  uint64
}

// AdminHandler returns the handler of the admin requests: POST /admin/faults sets the faults, GET /admin/state reads the
// state.
func (p *Proxy) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", p.postFaults)
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.State()) })
	return mux
}

func (p *Proxy) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields() // A misspelt field would let a test run without its fault.
	if err := decoder.Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, newCallErrorBody("Invalid", err))
		return
	}
	if err := p.SetFaults(r.Context(), f); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, newCallErrorBody("Listen", err))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func newCallErrorBody(kind string, err error) *mangomessage.CallErrorBody {
	return &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: err.Error()}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has closed the connection, so there is nobody to report the error to.
	_ = json.NewEncoder(w).Encode(body)
}
