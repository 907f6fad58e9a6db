package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Holding is a replica as a plan sees it.
type Holding struct {
	Replica *mangoreplica.Replica
	// Layers are the layers that it holds or was ordered to hold.
	Layers mangoreplica.Range
	// Settled replicas are not changing their layers; only they get orders.
	Settled bool
}

// Move is a change of the layers of a replica.
type Move struct {
	Replica *mangoreplica.Replica
	Layers  mangoreplica.Range
	// Reason says what the move is for.
	Reason string
}

// rooms are the tokens of requests that a replica is to have room for, in the order in which they are tried. The
// first is the usual one: it holds about 90 requests of the usual size, and a data centre has about 55 at a time. The
// later ones let fewer replicas hold the whole model.
func rooms() []float64 { return []float64{88000, 60000, 40000, 25000, 12000} }

// Plan returns the moves that bring the layers of each data centre closer to complete and then double cover. Data
// centres are planned on their own, since chains do not cross them.
func Plan(engine *mangoroute.Engine, states []Holding) []Move {
	sites := map[string][]Holding{}
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
		p := &planner{engine: engine, states: sites[n]}
		moves = append(moves, p.plan()...)
	}
	return moves
}

// planner plans one data centre.
type planner struct {
	engine *mangoroute.Engine
	states []Holding
	cover  []int
	moves  []Move
}

func (p *planner) plan() []Move {
	p.sort()
	held := slices.ContainsFunc(p.states, func(s Holding) bool { return s.Layers.Len() > 0 })
	if !held {
		p.layOut()
		return p.moves
	}
	p.count()
	p.fillGaps()
	if len(p.gaps()) > 0 && p.rebuildable() {
		p.moves = nil
		p.layOut()
		return p.moves
	}
	p.useEmpty()
	return p.moves
}

// sort brings the replicas that hold most layers to the front: they take the first layers, and the second cover, which
// also begins at the first layer, then stands in for those that take longest to replace.
func (p *planner) sort() {
	slices.SortStableFunc(p.states, func(a, b Holding) int {
		return cmp.Or(
			cmp.Compare(p.size(b, rooms()[0]), p.size(a, rooms()[0])), cmp.Compare(a.Replica.ID, b.Replica.ID),
		)
	})
}

func (p *planner) size(s Holding, room float64) int {
	return p.engine.MaxLayers(s.Replica.Accelerator, room)
}

// layOut gives all replicas their layers one after the other and begins at the first layer again after the last, with
// the largest room that lets the replicas hold the whole model. Replicas that are changing keep what they have.
func (p *planner) layOut() {
	for _, room := range rooms() {
		total := 0
		for _, s := range p.states {
			total += p.size(s, room)
		}
		if total < p.engine.Layers {
			continue
		}
		at := 0
		for _, s := range p.states {
			n := p.size(s, room)
			if n <= 0 {
				continue
			}
			to := min(at+n, p.engine.Layers)
			p.move(s, mangoreplica.Range{From: at, To: to}, "Layout")
			at = to % p.engine.Layers
		}
		return
	}
}

func (p *planner) move(s Holding, layers mangoreplica.Range, reason string) {
	if !s.Settled || s.Layers == layers {
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

func (p *planner) add(r mangoreplica.Range, n int) {
	for l := max(r.From, 0); l < min(r.To, len(p.cover)); l++ {
		p.cover[l] += n
	}
}

// gaps returns the ranges that no replica holds.
func (p *planner) gaps() []mangoreplica.Range {
	var gaps []mangoreplica.Range
	for l := 0; l < len(p.cover); l++ {
		if p.cover[l] > 0 {
			continue
		}
		from := l
		for l < len(p.cover) && p.cover[l] == 0 {
			l++
		}
		gaps = append(gaps, mangoreplica.Range{From: from, To: l})
	}
	return gaps
}

// fillGaps gives each range without a holder to empty replicas, and to those whose layers others hold too once no
// empty one is left.
func (p *planner) fillGaps() {
	for range len(p.states) {
		gaps := p.gaps()
		if len(gaps) == 0 {
			return
		}
		gap := slices.MaxFunc(gaps, func(a, b mangoreplica.Range) int { return cmp.Compare(a.Len(), b.Len()) })
		i, reason := p.pick(gap, p.empty), "Gap"
		if i < 0 {
			i, reason = p.pick(gap, p.redundant), "GapFromCopy"
		}
		if i < 0 {
			return
		}
		p.take(i, p.window(gap, p.size(p.states[i], rooms()[0])), reason)
	}
}

// take orders a state to hold layers and counts them as held.
func (p *planner) take(i int, layers mangoreplica.Range, reason string) {
	s := &p.states[i]
	p.move(*s, layers, reason)
	p.add(s.Layers, -1)
	p.add(layers, 1)
	s.Layers, s.Settled = layers, false
}

// pick returns the state that fills a gap best among those that may: the smallest that fills it, else the largest.
func (p *planner) pick(gap mangoreplica.Range, may func(Holding) bool) int {
	best := -1
	for i, s := range p.states {
		n := p.size(s, rooms()[0])
		if n <= 0 || !may(s) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := p.size(p.states[best], rooms()[0])
		if (n >= gap.Len() && (b < gap.Len() || n < b)) || (n < gap.Len() && n > b) {
			best = i
		}
	}
	return best
}

func (p *planner) empty(s Holding) bool { return s.Settled && s.Layers.Len() == 0 }

// redundant reports whether other replicas hold all layers of a state.
func (p *planner) redundant(s Holding) bool {
	if !s.Settled || s.Layers.Len() == 0 {
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
func (p *planner) window(gap mangoreplica.Range, n int) mangoreplica.Range {
	from := gap.From
	if from+n > p.engine.Layers {
		from = max(0, p.engine.Layers-n)
	}
	if gap.Len() > n {
		from = gap.From
	}
	return mangoreplica.Range{From: from, To: min(from+n, p.engine.Layers)}
}

// rebuildable reports whether a layout from scratch would cover the model and nothing is on its way to do so.
func (p *planner) rebuildable() bool {
	total := 0
	for _, s := range p.states {
		if !s.Settled {
			return false
		}
		total += p.size(s, rooms()[len(rooms())-1])
	}
	return total >= p.engine.Layers
}

// useEmpty gives empty replicas the layers with the fewest holders; of these, those held by the largest replica, since
// its loss costs most.
func (p *planner) useEmpty() {
	if len(p.gaps()) > 0 {
		return
	}
	for i, s := range p.states {
		n := p.size(s, rooms()[0])
		if n <= 0 || !p.empty(s) {
			continue
		}
		best, least := 0, int(^uint(0)>>1)
		for from := 0; from+n <= p.engine.Layers; from++ {
			sum := 0
			for l := from; l < from+n; l++ {
				// A layer that already has two holders gains little from a third one.
				sum += min(p.cover[l], 4) * min(p.cover[l], 4)
			}
			if sum < least {
				best, least = from, sum
			}
		}
		p.take(i, mangoreplica.Range{From: best, To: best + n}, "Copy")
	}
}
