package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// ReplicaState is a replica as a plan sees it.
type ReplicaState struct {
	Replica *mangoreplica.Replica
	// Layers are the layers that it holds or was ordered to hold.
	Layers mangoreplica.LayerRange
	// Settled replicas are not changing their layers; only they get orders.
	Movable bool
	// Requests is the number of requests of this daemon that pass through it.
	Requests int
	// Slowness is the time of its steps in units of the usual one; 0 counts as 1.
	Slowness float64
	// Leaving replicas serve the requests that they have and no others; they count as holders of nothing.
	Draining bool
}

// Reason says what a move is for.
type Reason string

const (
	// Layout moves are the first ones of a data centre.
	ReasonLayout Reason = "Layout"
	// Shift moves give them to several replicas whose ranges move.
	ReasonShift Reason = "Shift"
	// Gap moves give layers without a holder to an empty replica.
	ReasonGap Reason = "Gap"
	// GapFromCopy moves give them to a replica whose layers others hold.
	ReasonGapFromCopy Reason = "GapFromCopy"
	// Extend moves give them to a neighbour beside its own.
	ReasonExtend Reason = "Extend"
	// Copy moves give layers a further holder.
	ReasonCopy Reason = "Copy"
	// Level moves take layers over from a neighbour that has little room.
	ReasonLevel Reason = "Level"
	// Reserve moves take all layers over from a replica, which is then free for the next loss.
	ReasonReserve Reason = "Reserve"
	// Trim moves take layers that others hold too from a replica that has little room.
	ReasonTrim Reason = "Trim"
)

// Move is a change of the layers of a replica.
type Move struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.LayerRange
	// Reason says what the move is for.
	Reason Reason
	// Urgent moves do not wait for the requests that pass through the replica; these have to go on elsewhere.
	Urgent bool
}

const (
	// usualRoom is the number of tokens of requests that a replica has room for if the data centre has memory enough. At
	// 950 tokens a request it holds the requests of three data centres at a usual hour.
	usualRoom = 150000.0
	// calmRoom holds the requests of one data centre at a usual hour and half as many again.
	calmRoom = 80000.0
	// leastRoom is the room below which a replica is no use in a chain, and roomStep the step between tries.
	leastRoom = 12000.0
	roomStep  = 4000.0
	// extendedRoom is the room that a replica keeps when it takes over layers of a lost neighbour.
	extendedRoom = 90000.0
	// quickLoad is the number of layers that load within about a second; a replica that closes a smaller gap takes as many.
	quickLoad = 6
	// reserve is the number of layers, as a share of the model, that replicas hold twice if the memory allows it: a copy
	// can take the place of a lost replica at once.
	reserve = 0.12
)

// Plan returns the moves that bring the layers of each data centre closer to complete and then double cover. Data
// centres are planned on their own, since chains do not cross them.
func Plan(engine *mangoroute.Engine, states []ReplicaState) []Move {
	sites := map[string][]ReplicaState{}
	var names []string
	for _, s := range states {
		name := s.Replica.DataCentre
		if _, ok := sites[name]; !ok {
			names = append(names, name)
		}
		sites[name] = append(sites[name], s)
	}
	slices.Sort(names)
	var moves []Move
	for _, n := range names {
		moves = append(moves, planSite(engine, sites[n])...)
	}
	return moves
}

// planner plans one data centre.
type planner struct {
	engine *mangoroute.Engine
	states []ReplicaState
	// room is the number of tokens that each replica is to have room for.
	room  float64
	cover []int
	moves []Move
	// leaving has the layers of replicas that are leaving.
	leaving []mangoreplica.LayerRange
	// broken says that no request can pass through the data centre.
	broken bool
}

func newPlanner(engine *mangoroute.Engine, states []ReplicaState) *planner {
	p := &planner{engine: engine}
	for _, s := range states {
		if s.Draining {
			p.leaving = append(p.leaving, s.Layers)
			continue
		}
		p.states = append(p.states, s)
	}
	return p
}

func (p *planner) plan() []Move {
	p.chooseRoom()
	p.sort()
	held := slices.ContainsFunc(p.states, func(s ReplicaState) bool { return s.Layers.Len() > 0 })
	if !held {
		p.layOut()
		return p.moves
	}
	p.count()
	p.broken = p.isBroken()
	p.fillGaps()
	if len(p.gaps()) > 0 {
		p.shift()
		return p.moves
	}
	p.useEmpty()
	p.level()
	p.keepReserve()
	return p.moves
}

// chooseRoom takes the largest room with which the replicas hold the whole model and the reserve; below the room that a
// calm hour needs the reserve is given up first.
func (p *planner) chooseRoom() {
	wanted := p.engine.Layers + int(reserve*float64(p.engine.Layers))
	for p.room = usualRoom; p.room > leastRoom; p.room -= roomStep {
		if p.room < calmRoom {
			wanted = p.engine.Layers
		}
		if p.total() >= wanted {
			return
		}
	}
}

func (p *planner) total() int {
	total := 0
	for _, s := range p.states {
		total += p.size(s, p.room)
	}
	return total
}

// sort brings the replicas that hold most layers to the front: they take the first layers, and the second cover, which
// also begins at the first layer, then stands in for those that take longest to replace.
func (p *planner) sort() {
	slices.SortStableFunc(p.states, func(a, b ReplicaState) int {
		return cmp.Or(
			cmp.Compare(p.size(b, usualRoom), p.size(a, usualRoom)), cmp.Compare(a.Replica.ID, b.Replica.ID),
		)
	})
}

func (p *planner) size(s ReplicaState, room float64) int {
	return p.engine.MaxLayers(s.Replica.Accelerator, room)
}

// layOut gives all replicas their layers one after the other and begins at the first layer again after the last.
func (p *planner) layOut() {
	if p.total() < p.engine.Layers {
		return
	}
	at := 0
	for _, s := range p.states {
		n := p.size(s, p.room)
		if n <= 0 {
			continue
		}
		to := min(at+n, p.engine.Layers)
		p.move(s, mangoreplica.LayerRange{From: at, To: to}, ReasonLayout)
		at = to % p.engine.Layers
	}
}

func (p *planner) move(s ReplicaState, layers mangoreplica.LayerRange, reason Reason) {
	if !s.Movable || s.Layers == layers {
		return
	}
	p.moves = append(p.moves, Move{Replica: s.Replica, Layers: layers, Reason: reason})
}

func (p *planner) count() {
	p.cover = make([]int, p.engine.Layers)
	for _, s := range p.states {
		p.add(s.Layers, 1)
	}
}

func (p *planner) add(r mangoreplica.LayerRange, n int) {
	for l := max(r.From, 0); l < min(r.To, len(p.cover)); l++ {
		p.cover[l] += n
	}
}

// gaps returns the ranges that no replica holds.
func (p *planner) gaps() []mangoreplica.LayerRange {
	var gaps []mangoreplica.LayerRange
	for l := 0; l < len(p.cover); l++ {
		if p.cover[l] > 0 {
			continue
		}
		from := l
		for l < len(p.cover) && p.cover[l] == 0 {
			l++
		}
		gaps = append(gaps, mangoreplica.LayerRange{From: from, To: l})
	}
	return gaps
}

// fillGaps gives each range without a holder to empty replicas, to its neighbours if they have room for it, and else to
// replicas whose layers others hold too.
func (p *planner) fillGaps() {
	for range len(p.states) {
		gaps := p.gaps()
		if len(gaps) == 0 {
			return
		}
		gap := slices.MaxFunc(gaps, func(a, b mangoreplica.LayerRange) int { return cmp.Compare(a.Len(), b.Len()) })
		if i := p.pick(gap, p.empty); i >= 0 {
			p.take(i, p.window(gap, p.size(p.states[i], p.room)), ReasonGap)
			continue
		}
		if p.extend(gap) {
			continue
		}
		i := p.pickCopy(gap)
		if i < 0 {
			return
		}
		n := min(p.size(p.states[i], p.room), max(gap.Len(), quickLoad))
		first := len(p.moves)
		p.take(i, p.window(gap, n), ReasonGapFromCopy)
		p.hurry(p.moves[first:])
	}
}

// hurry makes moves urgent if the requests in the data centre stall anyway. Requests that leaving replicas still serve are not
// cut for the sake of new ones.
func (p *planner) hurry(moves []Move) {
	for i := range moves {
		moves[i].Urgent = p.broken
	}
}

// isBroken reports whether no replica, not even one that is leaving, holds some layer: requests that pass through the others
// then wait for it until engines give them up.
func (p *planner) isBroken() bool {
	for l, n := range p.cover {
		if n == 0 && !slices.ContainsFunc(p.leaving, func(r mangoreplica.LayerRange) bool { return r.From <= l && l < r.To }) {
			return true
		}
	}
	return false
}

// extend lets the replicas on both sides of a gap take its layers beside their own, which loads the fewest layers. It
// reports whether they have room for all of them.
func (p *planner) extend(gap mangoreplica.LayerRange) bool {
	left, leftSlack := p.roomiest(func(r mangoreplica.LayerRange) bool { return r.From < gap.From && r.To >= gap.From })
	right, rightSlack := p.roomiest(func(r mangoreplica.LayerRange) bool { return r.To > gap.To && r.From <= gap.To })
	if leftSlack+rightSlack < gap.Len() {
		return false
	}
	fromLeft := min(leftSlack, (gap.Len()+1)/2)
	fromRight := min(rightSlack, gap.Len()-fromLeft)
	fromLeft = gap.Len() - fromRight
	if fromLeft > 0 {
		p.take(left, mangoreplica.LayerRange{From: p.states[left].Layers.From, To: gap.From + fromLeft}, ReasonExtend)
	}
	if fromRight > 0 {
		p.take(right, mangoreplica.LayerRange{From: gap.To - fromRight, To: p.states[right].Layers.To}, ReasonExtend)
	}
	return true
}

// roomiest returns the settled replica with the most room for further layers among those that hold a range of some kind.
func (p *planner) roomiest(kind func(mangoreplica.LayerRange) bool) (index, slack int) {
	index = -1
	for i, s := range p.states {
		if !s.Movable || s.Layers.Len() == 0 || !kind(s.Layers) {
			continue
		}
		if n := p.size(s, extendedRoom) - s.Layers.Len(); n > slack {
			index, slack = i, n
		}
	}
	return index, slack
}

// take orders a state to hold layers and counts them as held.
func (p *planner) take(i int, layers mangoreplica.LayerRange, reason Reason) {
	s := &p.states[i]
	p.move(*s, layers, reason)
	p.add(s.Layers, -1)
	p.add(layers, 1)
	s.Layers, s.Movable = layers, false
}

// pick returns the state that fills a gap best among those that may: the smallest that fills it, else the largest.
func (p *planner) pick(gap mangoreplica.LayerRange, may func(ReplicaState) bool) int {
	best := -1
	for i, s := range p.states {
		n := p.size(s, p.room)
		if n <= 0 || !may(s) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := p.size(p.states[best], p.room)
		if (n >= gap.Len() && (b < gap.Len() || n < b)) || (n < gap.Len() && n > b) {
			best = i
		}
	}
	return best
}

// pickCopy returns the state whose layers others hold that is to take over a gap, or -1: the largest that the gap takes
// whole, else the smallest. Several small replicas load their parts at the same time, while one large replica takes as
// long as all of them together. Of equals the one that fewest requests pass through is taken.
func (p *planner) pickCopy(gap mangoreplica.LayerRange) int {
	best := -1
	for i, s := range p.states {
		n := p.size(s, p.room)
		if n <= 0 || !p.redundant(s) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := p.size(p.states[best], p.room)
		switch {
		case n == b:
			if s.Requests < p.states[best].Requests {
				best = i
			}
		case n <= gap.Len() && (b > gap.Len() || n > b), n > gap.Len() && b > gap.Len() && n < b:
			best = i
		}
	}
	return best
}

func (p *planner) empty(s ReplicaState) bool { return s.Movable && s.Layers.Len() == 0 }

// redundant reports whether other replicas hold all layers of a state.
func (p *planner) redundant(s ReplicaState) bool {
	if !s.Movable || s.Layers.Len() == 0 {
		return false
	}
	for l := s.Layers.From; l < min(s.Layers.To, len(p.cover)); l++ {
		if p.cover[l] < 2 {
			return false
		}
	}
	return true
}

// window returns a range of n layers that begins with a gap or, at the end of the model, ends with it.
func (p *planner) window(gap mangoreplica.LayerRange, n int) mangoreplica.LayerRange {
	from := gap.From
	if from+n > p.engine.Layers {
		from = max(0, p.engine.Layers-n)
	}
	if gap.Len() > n {
		from = gap.From
	}
	return mangoreplica.LayerRange{From: from, To: min(from+n, p.engine.Layers)}
}

// useEmpty gives empty replicas the layers that have room for the fewest requests.
func (p *planner) useEmpty() {
	for i, s := range p.states {
		n := p.size(s, p.room)
		if n <= 0 || !p.empty(s) {
			continue
		}
		rooms := p.rooms()
		best, most := 0, -1.0
		for from := 0; from+n <= p.engine.Layers; from++ {
			relief := 0.0
			for l := from; l < from+n; l++ {
				relief += 1 / max(rooms[l], 1)
			}
			if relief > most {
				best, most = from, relief
			}
		}
		p.take(i, mangoreplica.LayerRange{From: best, To: best + n}, ReasonCopy)
	}
}

// rooms returns the tokens that the holders of each layer have room for.
func (p *planner) rooms() []float64 {
	rooms := make([]float64, p.engine.Layers)
	for _, s := range p.states {
		room := p.engine.TokenCapacity(s.Replica.Accelerator, s.Layers.Len())
		for l := max(s.Layers.From, 0); l < min(s.Layers.To, len(rooms)); l++ {
			rooms[l] += room
		}
	}
	return rooms
}
