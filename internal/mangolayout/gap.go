package mangolayout

import (
	"cmp"
	"slices"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// gaps returns the ranges of layers without a holder.
func (p *planner) gaps() []mangoreplica.LayerRange {
	var gaps []mangoreplica.LayerRange
	for l := 0; l < len(p.holderCounts); l++ {
		if p.holderCounts[l] > 0 {
			continue
		}
		from := l
		for l < len(p.holderCounts) && p.holderCounts[l] == 0 {
			l++
		}
		gaps = append(gaps, mangoreplica.LayerRange{From: from, To: l})
	}
	return gaps
}

// fillGaps closes the gaps, largest first: by an empty replica, else by the neighbours if they have the capacity, else by a
// replica whose layers others hold too.
func (p *planner) fillGaps() {
	for range len(p.states) {
		gaps := p.gaps()
		if len(gaps) == 0 {
			return
		}
		gap := slices.MaxFunc(gaps, func(a, b mangoreplica.LayerRange) int { return cmp.Compare(a.Len(), b.Len()) })
		if i := p.bestFit(gap, p.isEmpty); i >= 0 {
			p.assign(i, p.rangeAt(gap, p.maxLayers(p.states[i], p.targetCapacity)), ReasonGap)
			continue
		}
		if p.extendNeighbours(gap) {
			continue
		}
		i := p.bestRedundant(gap)
		if i < 0 {
			return
		}
		n := min(p.maxLayers(p.states[i], p.targetCapacity), max(gap.Len(), quickLoadLayers))
		first := len(p.moves)
		p.assign(i, p.rangeAt(gap, n), ReasonGapFromCopy)
		p.markUrgent(p.moves[first:])
	}
}

// hasUnheldLayer reports whether some layer has no holder, not even a draining one. Requests that pass through the other
// replicas then wait for it until the engines give them up.
func (p *planner) hasUnheldLayer() bool {
	for l, n := range p.holderCounts {
		if n == 0 && !slices.ContainsFunc(p.drainingLayers, func(r mangoreplica.LayerRange) bool { return r.From <= l && l < r.To }) {
			return true
		}
	}
	return false
}

// extendNeighbours lets the replicas on both sides of a gap extend their ranges over it, which loads the fewest layers. It
// reports whether they have the capacity for the whole gap.
func (p *planner) extendNeighbours(gap mangoreplica.LayerRange) bool {
	left, leftSlack := p.mostSlack(func(r mangoreplica.LayerRange) bool { return r.From < gap.From && r.To >= gap.From })
	right, rightSlack := p.mostSlack(func(r mangoreplica.LayerRange) bool { return r.To > gap.To && r.From <= gap.To })
	if leftSlack+rightSlack < gap.Len() {
		return false
	}
	fromLeft := min(leftSlack, (gap.Len()+1)/2)
	fromRight := min(rightSlack, gap.Len()-fromLeft)
	fromLeft = gap.Len() - fromRight
	if fromLeft > 0 {
		p.assign(left, mangoreplica.LayerRange{From: p.states[left].Layers.From, To: gap.From + fromLeft}, ReasonExtend)
	}
	if fromRight > 0 {
		p.assign(right, mangoreplica.LayerRange{From: gap.To - fromRight, To: p.states[right].Layers.To}, ReasonExtend)
	}
	return true
}

// mostSlack returns the movable replica that can take the most further layers among those whose range matches, and how many
// it can take.
func (p *planner) mostSlack(matches func(mangoreplica.LayerRange) bool) (index, slack int) {
	index = -1
	for i, s := range p.states {
		if !s.Movable || s.Layers.Len() == 0 || !matches(s.Layers) {
			continue
		}
		if n := p.maxLayers(s, extendCapacity) - s.Layers.Len(); n > slack {
			index, slack = i, n
		}
	}
	return index, slack
}

// bestFit returns the eligible replica that fits a gap best, or -1 if there is none: the smallest that can hold the whole
// gap, else the largest.
func (p *planner) bestFit(gap mangoreplica.LayerRange, eligible func(ReplicaState) bool) int {
	best := -1
	for i, s := range p.states {
		n := p.maxLayers(s, p.targetCapacity)
		if n <= 0 || !eligible(s) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := p.maxLayers(p.states[best], p.targetCapacity)
		if (n >= gap.Len() && (b < gap.Len() || n < b)) || (n < gap.Len() && n > b) {
			best = i
		}
	}
	return best
}

// bestRedundant returns the redundant replica to close a gap with, or -1 if there is none: the largest that holds no more
// layers than the gap has, else the smallest. Several small replicas load their parts at the same time, while one large
// replica takes as long as all of them together. Among replicas of the same size, the one with the fewest requests is
// taken.
func (p *planner) bestRedundant(gap mangoreplica.LayerRange) int {
	best := -1
	for i, s := range p.states {
		n := p.maxLayers(s, p.targetCapacity)
		if n <= 0 || !p.isRedundant(s) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := p.maxLayers(p.states[best], p.targetCapacity)
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

// rangeAt returns a range of n layers that starts with a gap, or earlier if the model ends before n layers.
func (p *planner) rangeAt(gap mangoreplica.LayerRange, n int) mangoreplica.LayerRange {
	from := gap.From
	if from+n > p.engine.Layers {
		from = max(0, p.engine.Layers-n)
	}
	if gap.Len() > n {
		from = gap.From
	}
	return mangoreplica.LayerRange{From: from, To: min(from+n, p.engine.Layers)}
}
