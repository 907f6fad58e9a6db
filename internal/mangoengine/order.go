package mangoengine

import (
	"context"
	"net/http"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	o := &mangomessage.Order{}
	if !decode(w, r, o) {
		return
	}
	e.mu.Lock()
	answer := e.order(o)
	e.mu.Unlock()
	reply(w, answer)
}

// order carries out an order once for each Id; the lock is held. Only accepted orders are remembered, so that a refused
// one can be sent again.
func (e *Engine) order(o *mangomessage.Order) *mangomessage.OrderReply {
	if e.fenced && o.FencingNumber < e.fence {
		return &mangomessage.OrderReply{Reason: "Fenced"}
	}
	e.fence = max(e.fence, o.FencingNumber)
	if done, ok := e.orders[o.Id]; ok && o.Id != "" {
		return done
	}
	if reason := e.apply(o); reason != "" {
		return &mangomessage.OrderReply{Reason: reason}
	}
	answer := &mangomessage.OrderReply{Accepted: true}
	e.orders[o.Id] = answer
	return answer
}

// apply returns why the order is refused, or "".
func (e *Engine) apply(o *mangomessage.Order) string {
	switch o.Action {
	case "Load":
		next := LayerRange{From: o.FromLayer, To: o.ToLayer}
		next.Model = Model{o.Model, o.Version, o.Adapters, e.placed.Model.EndProbability}
		if !next.loaded() || o.Model == "" || o.Version == "" {
			return "Invalid"
		}
		return e.change(next)
	case "Unload":
		return e.change(LayerRange{Model: Model{EndProbability: e.placed.Model.EndProbability}})
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

// change starts to replace the layers. An engine changes one thing at a time.
func (e *Engine) change(next LayerRange) string {
	switch {
	case e.loading != nil && e.loading.same(next):
		return ""
	case e.loading != nil:
		return "Busy"
	case e.placed.same(next):
		return ""
	}
	e.loading = &next
	return ""
}

func (p LayerRange) same(q LayerRange) bool {
	return p.From == q.From && p.To == q.To && p.Model.seed() == q.Model.seed()
}

// runLoads replaces the layers once the running calls have ended and the load time has passed. Calls that began with
// the old layers finish on them, so that no call runs on two versions.
func (e *Engine) runLoads(ctx context.Context) {
	every(ctx, 20*time.Millisecond, func() bool {
		next, ready := e.startLoad()
		if !ready {
			return true
		}
		if next.loaded() && !pause(ctx, e.weightsTime) {
			return false
		}
		e.mu.Lock()
		e.placed, e.loading = next, nil
		e.mu.Unlock()
		return true
	})
}

// startLoad frees the old layers when a load waits and no stream is open.
func (e *Engine) startLoad() (LayerRange, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == nil || e.streams() > 0 {
		return LayerRange{}, false
	}
	clear(e.calls)
	for _, digest := range e.cache.clear() {
		e.addEvent(digest, true)
	}
	e.placed = LayerRange{Model: Model{EndProbability: e.placed.Model.EndProbability}}
	return *e.loading, true
}
