package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// ReplicaState is the state of a replica that a plan starts from.
type ReplicaState struct {
	Replica *mangoreplica.Replica
	// Layers are the layers that it holds or, while an order is pending, was ordered to hold.
	Layers mangoreplica.LayerRange
	// Movable replicas may get orders. The others have a pending order, or get none for a while after one that failed.
	Movable bool
	// Requests is the number of requests of this daemon that pass through it.
	Requests int
	// Slowness is the time of its decode steps relative to the usual time; 0 counts as 1.
	Slowness float64
	// Draining replicas finish the requests that they have and get no new ones. Plans do not count on their layers.
	Draining bool
}

// Reason says why a replica gets other layers.
type Reason string

const (
	// ReasonLayout means that the replicas of a data centre hold no layers yet and get their first ones.
	ReasonLayout Reason = "Layout"
	// ReasonShift means that layers without a holder are covered by moving the ranges of replicas that hold others.
	ReasonShift Reason = "Shift"
	// ReasonGap means that an empty replica takes layers without a holder.
	ReasonGap Reason = "Gap"
	// ReasonGapFromCopy means that a replica whose layers others hold too takes layers without a holder.
	ReasonGapFromCopy Reason = "GapFromCopy"
	// ReasonExtend means that a replica takes adjacent layers without a holder beside its own.
	ReasonExtend Reason = "Extend"
	// ReasonCopy means that an empty replica takes layers that others hold already.
	ReasonCopy Reason = "Copy"
	// ReasonLevel means that a replica takes over layers of a neighbour that has little capacity.
	ReasonLevel Reason = "Level"
	// ReasonReserve means that neighbours take copies of all layers of a replica, which is then free to replace the next
	// lost one.
	ReasonReserve Reason = "Reserve"
	// ReasonTrim means that a replica with little capacity gives up layers that others hold too.
	ReasonTrim Reason = "Trim"
)

// Move is a change of the layers of a replica.
type Move struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.LayerRange
	Reason  Reason
	// Urgent moves do not wait for the requests that pass through the replica, which then have to continue elsewhere.
	Urgent bool
}

const (
	// fullCapacity is the capacity, in tokens of requests, that each replica gets if the data centre has memory enough. At
	// 950 tokens a request, that is enough for the requests of three data centres at a usual hour.
	fullCapacity = 150000.0
	// normalCapacity is enough for 1.5 times the requests of one data centre at a usual hour.
	normalCapacity = 80000.0
	// minCapacity is the capacity below which a replica is of no use in a chain, and capacityStep the step by which
	// chooseCapacity lowers the capacity.
	minCapacity  = 12000.0
	capacityStep = 4000.0
	// extendCapacity is the capacity that a replica keeps when it takes over layers of a lost neighbour.
	extendCapacity = 90000.0
	// quickLoadLayers is the number of layers that load within about a second. A replica that closes a smaller gap takes
	// that many.
	quickLoadLayers = 6
	// reserveShare is the share of the layers of the model that are held twice if memory allows. A replica that holds only
	// copies can replace a lost one at once.
	reserveShare = 0.12
)

// Plan returns moves that bring each data centre closer to holding every layer once, and then twice. Each data centre is
// planned on its own, since chains do not cross data centres.
func Plan(engine *mangoroute.Engine, states []ReplicaState) []Move {
	dataCentres := map[string][]ReplicaState{}
	var names []string
	for _, s := range states {
		name := s.Replica.DataCentre
		if _, ok := dataCentres[name]; !ok {
			names = append(names, name)
		}
		dataCentres[name] = append(dataCentres[name], s)
	}
	slices.Sort(names)
	var moves []Move
	for _, n := range names {
		moves = append(moves, planDataCentre(engine, dataCentres[n])...)
	}
	return moves
}

// planner plans one data centre.
type planner struct {
	engine *mangoroute.Engine
	states []ReplicaState
	// targetCapacity is the capacity, in tokens of requests, that each replica is to have.
	targetCapacity float64
	// holderCounts has the number of replicas that hold each layer, without draining ones.
	holderCounts []int
	moves        []Move
	// drainingLayers has the ranges of the draining replicas.
	drainingLayers []mangoreplica.LayerRange
	// chainBroken means that some layer has no holder at all, so that no request can pass through the data centre.
	chainBroken bool
}

func newPlanner(engine *mangoroute.Engine, states []ReplicaState) *planner {
	p := &planner{engine: engine}
	for _, s := range states {
		if s.Draining {
			p.drainingLayers = append(p.drainingLayers, s.Layers)
			continue
		}
		p.states = append(p.states, s)
	}
	return p
}

// plan closes gaps first. Only a data centre without gaps gets further copies, more even capacities and a reserve.
func (p *planner) plan() []Move {
	p.chooseCapacity()
	p.sortBySize()
	held := slices.ContainsFunc(p.states, func(s ReplicaState) bool { return s.Layers.Len() > 0 })
	if !held {
		p.layOutAll()
		return p.moves
	}
	p.countHolders()
	p.chainBroken = p.hasUnheldLayer()
	p.fillGaps()
	if len(p.gaps()) > 0 {
		p.shiftRanges()
		return p.moves
	}
	p.assignEmpty()
	p.levelCapacity()
	p.ensureReserve()
	return p.moves
}

// chooseCapacity sets the largest target capacity at which the replicas can hold the whole model and the reserve. Below
// normalCapacity the reserve is left out first.
func (p *planner) chooseCapacity() {
	wanted := p.engine.Layers + int(reserveShare*float64(p.engine.Layers))
	for p.targetCapacity = fullCapacity; p.targetCapacity > minCapacity; p.targetCapacity -= capacityStep {
		if p.targetCapacity < normalCapacity {
			wanted = p.engine.Layers
		}
		if p.totalLayers() >= wanted {
			return
		}
	}
}

// totalLayers returns the number of layers that all replicas together can hold at the target capacity.
func (p *planner) totalLayers() int {
	total := 0
	for _, s := range p.states {
		total += p.maxLayers(s, p.targetCapacity)
	}
	return total
}

// sortBySize puts the replicas that can hold the most layers first. They take the first layers. Second copies start at the
// first layer too, so that they back up the replicas that take longest to replace.
func (p *planner) sortBySize() {
	slices.SortStableFunc(p.states, func(a, b ReplicaState) int {
		return cmp.Or(
			cmp.Compare(p.maxLayers(b, fullCapacity), p.maxLayers(a, fullCapacity)), cmp.Compare(a.Replica.ID, b.Replica.ID),
		)
	})
}

// maxLayers returns the number of layers that a replica can hold if it keeps a capacity.
func (p *planner) maxLayers(s ReplicaState, capacity float64) int {
	return p.engine.MaxLayers(s.Replica.Accelerator, capacity)
}

// layOutAll assigns consecutive ranges to all replicas. After the last layer of the model it continues with the first one.
func (p *planner) layOutAll() {
	if p.totalLayers() < p.engine.Layers {
		return
	}
	at := 0
	for _, s := range p.states {
		n := p.maxLayers(s, p.targetCapacity)
		if n <= 0 {
			continue
		}
		to := min(at+n, p.engine.Layers)
		p.addMove(s, mangoreplica.LayerRange{From: at, To: to}, ReasonLayout)
		at = to % p.engine.Layers
	}
}

// addMove adds a move to other layers if the replica may get orders.
func (p *planner) addMove(s ReplicaState, layers mangoreplica.LayerRange, reason Reason) {
	if !s.Movable || s.Layers == layers {
		return
	}
	p.moves = append(p.moves, Move{Replica: s.Replica, Layers: layers, Reason: reason})
}

// countHolders counts the holders of each layer.
func (p *planner) countHolders() {
	p.holderCounts = make([]int, p.engine.Layers)
	for _, s := range p.states {
		p.addHolders(s.Layers, 1)
	}
}

// addHolders adds a number to the holder count of each layer in a range.
func (p *planner) addHolders(r mangoreplica.LayerRange, n int) {
	for l := max(r.From, 0); l < min(r.To, len(p.holderCounts)); l++ {
		p.holderCounts[l] += n
	}
}

// markUrgent makes moves urgent if the chain is broken, since the requests in the data centre stall then anyway. Requests
// that draining replicas still serve are not interrupted to make way for new ones.
func (p *planner) markUrgent(moves []Move) {
	for i := range moves {
		moves[i].Urgent = p.chainBroken
	}
}

// assign adds a move of a replica and counts the new layers as held.
func (p *planner) assign(i int, layers mangoreplica.LayerRange, reason Reason) {
	s := &p.states[i]
	p.addMove(*s, layers, reason)
	p.addHolders(s.Layers, -1)
	p.addHolders(layers, 1)
	s.Layers, s.Movable = layers, false
}

// isEmpty reports whether a replica holds no layers and may get orders.
func (p *planner) isEmpty(s ReplicaState) bool { return s.Movable && s.Layers.Len() == 0 }

// isRedundant reports whether a replica may get orders and others hold all of its layers.
func (p *planner) isRedundant(s ReplicaState) bool {
	if !s.Movable || s.Layers.Len() == 0 {
		return false
	}
	for l := s.Layers.From; l < min(s.Layers.To, len(p.holderCounts)); l++ {
		if p.holderCounts[l] < 2 {
			return false
		}
	}
	return true
}

// assignEmpty gives empty replicas copies of the layers whose holders have the least capacity.
func (p *planner) assignEmpty() {
	for i, s := range p.states {
		n := p.maxLayers(s, p.targetCapacity)
		if n <= 0 || !p.isEmpty(s) {
			continue
		}
		capacities := p.layerCapacities()
		best, highest := 0, -1.0
		for from := 0; from+n <= p.engine.Layers; from++ {
			relief := 0.0
			for l := from; l < from+n; l++ {
				relief += 1 / max(capacities[l], 1)
			}
			if relief > highest {
				best, highest = from, relief
			}
		}
		p.assign(i, mangoreplica.LayerRange{From: best, To: best + n}, ReasonCopy)
	}
}

// layerCapacities returns the sum of the capacities of the holders of each layer.
func (p *planner) layerCapacities() []float64 {
	capacities := make([]float64, p.engine.Layers)
	for _, s := range p.states {
		capacity := p.engine.TokenCapacity(s.Replica.Accelerator, s.Layers.Len())
		for l := max(s.Layers.From, 0); l < min(s.Layers.To, len(capacities)); l++ {
			capacities[l] += capacity
		}
	}
	return capacities
}
