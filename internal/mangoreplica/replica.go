package mangoreplica

// LayerRange is a range of the layers of a model, from From up to but not including To.
type LayerRange struct {
	From, To int
}

// MaxLayer bounds the layers that an entry, a report or a message can name; a model has some hundred.
const MaxLayer = 1 << 14

// Valid reports whether the range can be one of layers.
func (r LayerRange) Valid() bool { return 0 <= r.From && r.From <= r.To && r.To <= MaxLayer }

// Len returns the number of layers.
func (r LayerRange) Len() int { return max(0, r.To-r.From) }

// Contains reports whether the range includes all layers of another range.
func (r LayerRange) Contains(o LayerRange) bool { return r.From <= o.From && o.To <= r.To }

// Intersect returns the layers that are in both ranges.
func (r LayerRange) Intersect(o LayerRange) LayerRange {
	both := LayerRange{From: max(r.From, o.From), To: min(r.To, o.To)}
	if both.Len() == 0 {
		return LayerRange{}
	}
	return both
}

// Replica is a running server of a service, as it describes itself in its entry in the store.
type Replica struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the replica can run at once.
	Slots int
	// Draining says that the replica is not to get new requests.
	Draining bool
	// Accelerator is the kind of the replica's accelerator. It is empty for services that do not run a model.
	Accelerator string
	// Layers are the layers that the replica holds. The range is empty after a start.
	Layers LayerRange
	// ReleasingLayers says that the replica was recently ordered to give up layers. Requests that wait there for these layers
	// say nothing about its health.
	ReleasingLayers bool
	// Born is the start time of the process in Unix milliseconds. It distinguishes starts under the same id.
	Born int64
}

// Incarnation identifies one start of the process of a replica.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the identity of this start of the replica.
func (r *Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// LayerReport is the range of layers that a replica reported when it was asked directly. It may be newer than the replica's
// entry in the store.
type LayerReport struct {
	Replica Incarnation
	Layers  LayerRange
}
