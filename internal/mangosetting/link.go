package mangosetting

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangochain"
)

// maxLinkDelay is above the one-way delay of any network link on earth; a longer one has a wrong unit.
const maxLinkDelay = 10 * time.Second

// allowedLinkCosts describes the setting Routing.LinkCosts in a Fault.
const allowedLinkCosts = "DataCentre:DataCentre=delay pairs, comma-separated, such as houten:zeist=400us"

// ParseLinkDelays parses the one-way delays between data centres in the setting Routing.LinkCosts. A delay also holds for
// the opposite direction unless that has a delay of its own. The error is an *Error of KindInvalid.
func ParseLinkDelays(text string) (map[mangochain.Link]time.Duration, error) {
	given := make(map[mangochain.Link]time.Duration)
	if strings.TrimSpace(text) == "" {
		return given, nil
	}
	for _, part := range strings.Split(text, ",") {
		link, delay, err := parseLink(strings.TrimSpace(part))
		if err == nil && containsLink(given, link) {
			err = errors.Errorf("%q is given twice", part)
		}
		if err != nil {
			return nil, &Error{Op: "LinkCosts", Kind: KindInvalid, Err: err}
		}
		given[link] = delay
	}
	both := make(map[mangochain.Link]time.Duration, 2*len(given))
	for l, d := range given {
		both[l] = d
		reverse := mangochain.Link{From: l.To, To: l.From}
		if !containsLink(given, reverse) {
			both[reverse] = d
		}
	}
	return both, nil
}

func containsLink(links map[mangochain.Link]time.Duration, link mangochain.Link) bool {
	_, found := links[link]
	return found
}

// parseLink parses one pair such as houten:zeist=400us.
func parseLink(text string) (mangochain.Link, time.Duration, error) {
	pair, delayText, found := strings.Cut(text, "=")
	from, to, paired := strings.Cut(pair, ":")
	link := mangochain.Link{From: strings.TrimSpace(from), To: strings.TrimSpace(to)}
	if !found || !paired || !isName(link.From) || !isName(link.To) {
		return link, 0, errors.Errorf("%q is not a DataCentre:DataCentre=delay pair", text)
	}
	delay, err := time.ParseDuration(strings.TrimSpace(delayText))
	if err != nil {
		return link, 0, errors.Errorf("%q has no delay with a unit, such as 400us", text)
	}
	if delay < 0 || delay > maxLinkDelay {
		return link, 0, errors.Errorf("%q has a delay out of the range 0s to %s", text, maxLinkDelay)
	}
	return link, delay, nil
}
