package mangoreplica

// LayerRange is a range of layers; To is exclusive.
type LayerRange struct {
	From, To int
}

// Len returns the number of layers.
func (r LayerRange) Len() int { return max(0, r.To-r.From) }

// Contains reports whether the range includes all layers of another one.
func (r LayerRange) Contains(o LayerRange) bool { return r.From <= o.From && o.To <= r.To }

// Intersect returns the layers that both ranges have.
func (r LayerRange) Intersect(o LayerRange) LayerRange {
	both := LayerRange{From: max(r.From, o.From), To: min(r.To, o.To)}
	if both.Len() == 0 {
		return LayerRange{}
	}
	return both
}

// Replica is one start of a server of a service, as it describes itself in the store.
type Replica struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	// Accelerator is the kind of its accelerator; empty for plain services.
	Accelerator string
	// Layers are the layers that it holds; empty after a start.
	Layers LayerRange
	// Moving says that it gave up layers by an order a moment ago. Requests that wait for these say nothing of its health.
	ReleasingLayers bool
	// Born is the start of the process in Unix milliseconds; it tells starts under one id apart.
	Born int64
}

// Incarnation identifies one start of a replica.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the identity of this start of the replica.
func (r *Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// LayerReport is what a replica said of its layers when it was asked, which may be before its entry says so.
type LayerReport struct {
	Replica Incarnation
	Layers  LayerRange
}
