package mangopipeline

import "mangopath.org/mangopath/internal/mangoreplica"

// Usable reports whether a replica can be in the chain of a request. Avoided ones can if useAvoided is set and requests through them
// are not certain to fail.
func Usable(view View, request Request, r *mangoreplica.Replica, useAvoided bool) bool {
	if r.Draining || r.Layers.Len() == 0 || r.Layers.To > view.Engine.Layers || (request.Exclude != nil && request.Exclude(r.ID)) {
		return false
	}
	return !view.Status.Avoided(r.Incarnation(), view.Now) || (useAvoided && !view.Status.CertainToFail(r.Incarnation(), view.Now))
}

// MissingLayers returns the layers that no usable replica of the view holds, avoided ones included, in order. Layer 0 is also
// missing if no holder may be the first stage.
func MissingLayers(view View, request Request) []mangoreplica.LayerRange {
	held := make([]bool, view.Engine.Layers)
	for _, r := range view.Replicas {
		if !Usable(view, request, r, true) {
			continue
		}
		for l := max(r.Layers.From, 0); l < r.Layers.To; l++ {
			held[l] = held[l] || l > 0 || request.CanBeFirst == nil || request.CanBeFirst(r.Incarnation())
		}
	}
	var missing []mangoreplica.LayerRange
	for l, ok := range held {
		switch last := len(missing) - 1; {
		case ok:
		case last >= 0 && missing[last].To == l:
			missing[last].To = l + 1
		default:
			missing = append(missing, mangoreplica.LayerRange{From: l, To: l + 1})
		}
	}
	return missing
}
