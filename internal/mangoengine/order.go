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

// executeOrder carries out an order once for each Id; the lock is held. Only accepted orders are remembered, so that a refused
// one can be sent again.
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

// applyOrder returns why the order is refused, or "".
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

// requestLoad starts to replace the layers. An engine changes one thing at a time.
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

func (l LayerRange) equals(o LayerRange) bool {
	return l.From == o.From && l.To == o.To && l.Model.seed() == o.Model.seed()
}

// runLoads replaces the layers once the running calls have ended and the load time has passed. Calls that began with
// the old layers finish on them, so that no call runs on two versions.
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

// beginLoad frees the old layers when a load waits and no stream is open.
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
