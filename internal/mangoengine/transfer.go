package mangoengine

import (
	"encoding/json"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// cacheState is the exported KV cache of a call.
type cacheState struct {
	Open  *mangomessage.Open
	Stage *stage
	Last  *mangomessage.StepResult
}

func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	c := &mangomessage.Cancel{}
	if !decode(w, r, c) {
		return
	}
	e.mu.Lock()
	e.drop(callKey{c.Call, c.Attempt})
	e.mu.Unlock()
	reply(w, struct{}{})
}

// postExport takes the call off this engine and returns its state.
func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	t := &mangomessage.Transfer{}
	if !decode(w, r, t) {
		return
	}
	e.mu.Lock()
	c := e.drop(callKey{t.Call, t.Attempt})
	e.mu.Unlock()
	if c == nil {
		fail(w, http.StatusNotFound, "NoState", "no state for the call and attempt")
		return
	}
	state, err := json.Marshal(cacheState{Open: c.open, Stage: c.stage, Last: c.last})
	if err != nil {
		fail(w, http.StatusInternalServerError, "Invalid", err.Error())
		return
	}
	reply(w, &mangomessage.Transfer{
		Call: c.key.call, Attempt: c.key.attempt, FromLayer: c.open.FromLayer, ToLayer: c.open.ToLayer,
		Version: c.open.Version, NextPosition: c.next, State: state,
	})
}

// postImport takes over a call, which can then be resumed here.
func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	t := &mangomessage.Transfer{}
	if !decode(w, r, t) {
		return
	}
	var state cacheState
	if err := json.Unmarshal(t.State, &state); err != nil || state.Open == nil || state.Stage == nil {
		fail(w, http.StatusBadRequest, "Invalid", "State is not an exported KV cache")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusal(state.Open, nil); reason != "" {
		fail(w, http.StatusConflict, reason, "the call cannot move here")
		return
	}
	key := callKey{t.Call, t.Attempt}
	e.drop(key)
	e.calls[key] = &call{
		key: key, open: state.Open, stage: state.Stage, last: state.Last, next: t.NextPosition, detached: time.Now(),
	}
	reply(w, struct{}{})
}
