package mangobalance

import (
	"time"
)

const (
	// spillFrom is the use of the local data centre from which requests leave it, and spillAll that from which all would leave it.
	// With an interval this wide the share changes by a few percent while a view ages, since a request runs for some seconds.
	spillFrom = 0.70
	spillAll  = 0.95
	// fullMargin is how much lower the use of another data centre has to be for it to get its whole weight. It keeps data centres
	// that are about equally busy from exchanging requests.
	fullMargin = 0.20
	// horizon is the time for which capacity that becomes free counts, the age that a view can have.
	horizon = time.Second
)

// Site is what is known of the replicas of a service in one data centre that hold the whole model.
type Site struct {
	DataCentre string
	// Capacity and Used are those of mangocapacity.Site: the memory for requests at the layer with the least free memory and the part
	// of it in use, or the slots of the first stages if less is free there, in tokens.
	Capacity, Used float64
	// Slots and SlotsUsed are those of the replicas that can be a first stage. Both are 0 if one of these has no slots configured and so
	// takes any number of requests; then only the memory counts.
	Slots, SlotsUsed float64
	// Duration is the mean time for which a request holds its memory and its slot.
	Duration time.Duration
	// Demand is the memory, in tokens, that would be in use if all requests that arrive at the daemons of this data centre ran
	// here; 0 if unknown.
	Demand float64
}

// Use returns the share in use of the scarcer of memory and slots, from 0 to 1.
func (s Site) Use() float64 {
	use := 1.0
	if s.Capacity > 0 {
		use = s.Used / s.Capacity
	}
	if s.Slots > 0 {
		use = max(use, s.SlotsUsed/s.Slots)
	}
	return min(max(use, 0), 1)
}

// room returns the memory that requests from elsewhere can take within the horizon, in tokens: what is free, and what becomes free
// by more than the site's own demand takes.
func (s Site) room() float64 {
	room := s.Capacity * (1 - s.Use())
	if s.Duration > 0 {
		room += (s.Used - s.Demand) * min(float64(horizon)/float64(s.Duration), 1)
	}
	return max(room, 0)
}

// Share is the share of new requests that goes to a data centre.
type Share struct {
	DataCentre string
	Share      float64
}

// Shares returns the share of each site, in their order; they add up to 1. All requests stay local while the local site has room. From
// there on a growing part goes to the other sites, in proportion to the room there. It is nil without sites.
func Shares(local string, sites []Site) []Share {
	if len(sites) == 0 {
		return nil
	}
	home := -1
	for i, s := range sites {
		if s.DataCentre == local {
			home = i
		}
	}
	weights, total, possible := make([]float64, len(sites)), 0.0, 0.0
	for i, s := range sites {
		if i == home {
			continue
		}
		weights[i] = s.room()
		possible += weights[i]
		if home >= 0 {
			weights[i] *= ramp((sites[home].Use() - s.Use()) / fullMargin)
		}
		total += weights[i]
	}
	leaving := 1.0
	switch {
	case home >= 0 && total <= 0:
		leaving = 0
	case home >= 0:
		leaving = ramp((sites[home].Use()-spillFrom)/(spillAll-spillFrom)) * total / possible
	case total <= 0:
		// No site has room: each gets the same share.
		for i := range weights {
			weights[i], total = 1, total+1
		}
	}
	shares := make([]Share, len(sites))
	for i, s := range sites {
		shares[i].DataCentre = s.DataCentre
		if i == home {
			shares[i].Share = 1 - leaving
		} else if total > 0 {
			shares[i].Share = leaving * weights[i] / total
		}
	}
	return shares
}

// Draw returns a data centre with a probability of its share, by a random number in [0, 1). It is empty without shares.
func Draw(shares []Share, random float64) string {
	last := ""
	for _, s := range shares {
		if s.Share <= 0 {
			continue
		}
		last = s.DataCentre
		if random < s.Share {
			return last
		}
		random -= s.Share
	}
	return last
}

// ramp rises from 0 at 0 to 1 at 1, without a step in its slope.
func ramp(x float64) float64 {
	x = min(max(x, 0), 1)
	return x * x * (3 - 2*x)
}
