package mangorelay

import (
	"fmt"
	"strings"

	"mangopath.org/mangopath/internal/mangobalance"
	"mangopath.org/mangopath/internal/mangopipeline"
)

// Results of the choice of a data centre, as counted at the first send of a request.
const (
	// choseLocal and choseRemote say that the request went to the data centre that was drawn.
	choseLocal  = "Local"
	choseRemote = "Remote"
	// choseOther says that the one that was drawn had no chain, or only a much more expensive one.
	choseOther = "Other"
)

// preferredDataCentre returns the data centre to which the shares of all data centres send this request, drawn once for each
// request. It is empty if less than two have a whole chain.
func (c *call) preferredDataCentre(view mangopipeline.View) string {
	if c.balanced {
		return c.preferred
	}
	c.balanced = true
	if c.shares = c.dataCentreShares(view); c.shares != nil {
		c.preferred = mangobalance.Draw(c.shares, c.relay.random())
	}
	return c.preferred
}

// dataCentreShares returns the share of new requests for each data centre; nil if less than two have a whole chain.
func (c *call) dataCentreShares(view mangopipeline.View) []mangobalance.Share {
	sites := mangobalance.Observe(view, c.demandAt)
	if len(sites) < 2 {
		return nil
	}
	return mangobalance.Shares(view.LocalDataCentre, sites)
}

// countDataCentre counts the choice of a data centre, at the first send only.
func (c *call) countDataCentre(t target) {
	if c.preferred == "" || c.sends != 1 {
		return
	}
	result := choseRemote
	if t.dataCentre == c.relay.localDataCentre {
		result = choseLocal
	}
	if t.dataCentre != c.preferred {
		result = choseOther
	}
	c.relay.observer.DataCentre(c.serviceName, result)
}

// sharesText returns the shares of the data centres as they appear in logs.
func (c *call) sharesText() string {
	parts := make([]string, len(c.shares))
	for i, s := range c.shares {
		parts[i] = fmt.Sprintf("%s:%.2f", s.DataCentre, s.Share)
	}
	return strings.Join(parts, ",")
}
