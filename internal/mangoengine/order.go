package mangoengine

import (
	"context"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	o := &mangomessage.Order{}
	if !decodeBody(w, r, o) {
		return
	}
	e.mu.Lock()
	reply := e.executeOrder(o)
	e.mu.Unlock()
	writeReply(w, reply)
}

// executeOrder executes an order and returns the reply. An order with the Id of an accepted one is not executed again.
// Refused orders are not recorded, so that they can be sent again. The lock must be held.
func (e *Engine) executeOrder(o *mangomessage.Order) *mangomessage.OrderReply {
	if e.checksFencing && o.FencingNumber < e.highestFencingNumber {
		return &mangomessage.OrderReply{Reason: "Fenced"}
	}
	e.highestFencingNumber = max(e.highestFencingNumber, o.FencingNumber)
	if done, ok := e.acceptedOrders[o.Id]; ok && o.Id != "" {
		return done
	}
	if reason := e.applyOrder(o); reason != "" {
		return &mangomessage.OrderReply{Reason: reason}
	}
	reply := &mangomessage.OrderReply{Accepted: true}
	e.acceptedOrders[o.Id] = reply
	return reply
}

// applyOrder executes an order and returns the reason if it is refused, or "".
func (e *Engine) applyOrder(o *mangomessage.Order) string {
	switch o.Action {
	case "Load":
		next := LayerRange{From: o.FromLayer, To: o.ToLayer}
		next.Model = Model{o.Model, o.Version, o.Adapters, e.loaded.Model.EndProbability}
		if !next.hasLayers() || o.Model == "" || o.Version == "" {
			return "Invalid"
		}
		return e.requestLoad(next)
	case "Unload":
		return e.requestLoad(LayerRange{Model: Model{EndProbability: e.loaded.Model.EndProbability}})
	case "Role":
		if o.Role == "" {
			return "Invalid"
		}
		e.role = o.Role
		return ""
	default:
		return "Invalid"
	}
}

// requestLoad schedules the replacement of the loaded layers. It returns "Busy" if another replacement is pending, or "".
func (e *Engine) requestLoad(next LayerRange) string {
	switch {
	case e.loading != nil && e.loading.equals(next):
		return ""
	case e.loading != nil:
		return "Busy"
	case e.loaded.equals(next):
		return ""
	}
	e.loading = &next
	return ""
}

// equals reports whether both ranges cover the same layers of the same model, version and adapters.
func (l LayerRange) equals(o LayerRange) bool {
	return l.From == o.From && l.To == o.To && l.Model.seed() == o.Model.seed()
}

// runLoads carries out pending replacements of the layers: it waits until no stream is open, then for the load time. Running
// calls complete on the old layers, so that no call runs on two versions.
func (e *Engine) runLoads(ctx context.Context) {
	runPeriodically(ctx, 20*time.Millisecond, func() bool {
		next, ready := e.beginLoad()
		if !ready {
			return true
		}
		if next.hasLayers() && !sleep(ctx, e.loadTime) {
			return false
		}
		e.mu.Lock()
		e.loaded, e.loading = next, nil
		e.mu.Unlock()
		return true
	})
}

// beginLoad unloads the old layers, with all calls and cached prefixes, if a replacement is pending and no stream is open.
// It returns the layers to load and whether it unloaded.
func (e *Engine) beginLoad() (LayerRange, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == nil || e.countOpenStreams() > 0 {
		return LayerRange{}, false
	}
	clear(e.calls)
	for _, digest := range e.prefixCache.clear() {
		e.recordCacheEvent(digest, true)
	}
	e.loaded = LayerRange{Model: Model{EndProbability: e.loaded.Model.EndProbability}}
	return *e.loading, true
}
