package mangofault

import (
	"encoding/json"
	"net/http"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxBody bounds an admin request, in bytes.
const maxBody = 1 << 16

// Faults replace all earlier faults.
type Faults struct {
	// Cut closes all connections and refuses new ones.
	Cut bool
	// Freeze stops all connections that exist when it is set, for good; new ones work.
	Freeze bool
	// CutToTarget and CutToCaller hold back the bytes of one direction; they flow on when the fault ends.
	CutToTarget bool
	CutToCaller bool
	// DelayMs is added to the bytes of each direction.
	DelayMs int64
	// Bandwidth is the bytes per second of each direction over all connections; 0 means no limit.
	Bandwidth int
	// DropReplies is the number of next replies to drop: the target got the request, and the connection closes instead
	// of the reply.
	DropReplies int
}

// State is what the proxy does at present.
type State struct {
	Faults      Faults
	Connections int
	Frozen      int
	Accepted    uint64
	Dropped     uint64
}

// AdminHandler returns the admin requests: POST /admin/faults and GET /admin/state.
func (p *Proxy) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", p.postFaults)
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, p.State()) })
	return mux
}

func (p *Proxy) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields() // A misspelt fault would let a test run without it.
	if err := decoder.Decode(&f); err != nil {
		answer(w, http.StatusBadRequest, callError("Invalid", err))
		return
	}
	if err := p.SetFaults(r.Context(), f); err != nil {
		answer(w, http.StatusServiceUnavailable, callError("Listen", err))
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func callError(kind string, err error) *mangomessage.CallErrorBody {
	return &mangomessage.CallErrorBody{Error: &mangomessage.CallError{Kind: kind, Message: err.Error()}}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has gone, and nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
