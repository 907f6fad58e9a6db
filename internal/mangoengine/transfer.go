package mangoengine

import (
	"encoding/json"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// exportedCall is the state of a call in an export, encoded as JSON. It is read by stand-in engines only.
type exportedCall struct {
	Open  *mangomessage.Open
	Stage *kvCache
	Last  *mangomessage.StepResult
}

// postCancel removes a call. It succeeds also if there is no such call.
func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	c := &mangomessage.Cancel{}
	if !decodeBody(w, r, c) {
		return
	}
	e.mu.Lock()
	e.removeCall(callKey{c.Call, c.Attempt})
	e.mu.Unlock()
	writeReply(w, struct{}{})
}

// postExport removes a call from this engine and returns its state.
func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	t := &mangomessage.Transfer{}
	if !decodeBody(w, r, t) {
		return
	}
	e.mu.Lock()
	c := e.removeCall(callKey{t.Call, t.Attempt})
	e.mu.Unlock()
	if c == nil {
		writeError(w, http.StatusNotFound, "NoState", "this engine holds no state for the call and attempt")
		return
	}
	state, err := json.Marshal(exportedCall{Open: c.openRequest, Stage: c.kvCache, Last: c.lastResult})
	if err != nil {
		writeError(w, http.StatusInternalServerError, "Invalid", err.Error())
		return
	}
	writeReply(w, &mangomessage.Transfer{
		Call: c.key.id, Attempt: c.key.attempt, FromLayer: c.openRequest.FromLayer, ToLayer: c.openRequest.ToLayer,
		Version: c.openRequest.Version, NextPosition: c.nextPosition, State: state,
	})
}

// postImport adds an exported call, which can then be resumed on this engine.
func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	t := &mangomessage.Transfer{}
	if !decodeBody(w, r, t) {
		return
	}
	var state exportedCall
	if err := json.Unmarshal(t.State, &state); err != nil || state.Open == nil || state.Stage == nil {
		writeError(w, http.StatusBadRequest, "Invalid", "State is not an exported KV cache")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refuseOpen(state.Open, nil); reason != "" {
		writeError(w, http.StatusConflict, reason, "this engine cannot import the call")
		return
	}
	key := callKey{t.Call, t.Attempt}
	e.removeCall(key)
	e.calls[key] = &callState{
		key: key, openRequest: state.Open, kvCache: state.Stage, lastResult: state.Last, nextPosition: t.NextPosition,
		detachedAt: time.Now(),
	}
	writeReply(w, struct{}{})
}
