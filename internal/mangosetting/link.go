package mangosetting

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangochain"
)

// maxLinkDelay guards against a wrong unit; no link on earth has a one-way delay above it.
const maxLinkDelay = 10 * time.Second

const linkAllowed = "DataCentre:DataCentre=delay pairs, comma-separated, such as houten:zeist=400us"

// ParseLinkDelays reads the one-way delays of setting Routing.LinkCosts. A pair also holds for the opposite direction
// unless that is given as well. The error is an *Error.
func ParseLinkDelays(text string) (map[mangochain.Link]time.Duration, error) {
	given := make(map[mangochain.Link]time.Duration)
	if strings.TrimSpace(text) == "" {
		return given, nil
	}
	for _, part := range strings.Split(text, ",") {
		link, delay, err := parseLink(strings.TrimSpace(part))
		if err == nil && hasLink(given, link) {
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
		if !hasLink(given, reverse) {
			both[reverse] = d
		}
	}
	return both, nil
}

func hasLink(links map[mangochain.Link]time.Duration, link mangochain.Link) bool {
	_, found := links[link]
	return found
}

func parseLink(text string) (mangochain.Link, time.Duration, error) {
	pair, delayText, found := strings.Cut(text, "=")
	from, to, paired := strings.Cut(pair, ":")
	link := mangochain.Link{From: strings.TrimSpace(from), To: strings.TrimSpace(to)}
	if !found || !paired || !isName(link.From) || !isName(link.To) {
		return link, 0, errors.Errorf("%q is not a DataCentre:DataCentre=delay pair", text)
	}
	delay, err := time.ParseDuration(strings.TrimSpace(delayText))
	if err != nil {
		return link, 0, errors.Errorf("%q has no delay with a unit", text)
	}
	if delay < 0 || delay > maxLinkDelay {
		return link, 0, errors.Errorf("%q has a delay out of the range 0s to %s", text, maxLinkDelay)
	}
	return link, delay, nil
}
