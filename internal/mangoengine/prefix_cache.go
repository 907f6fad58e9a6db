package mangoengine

import "container/list"

// cachedPrefix holds the inputs of a prefill under the prefix digest that the caller gave.
type cachedPrefix struct {
	digest string
	inputs []uint64
}

// prefixCache is an LRU cache of prompt prefixes. A hit shortens the time of a prefill and never changes its result.
type prefixCache struct {
	capacity int
	// byRecentUse lists the prefixes, the most recently used first.
	byRecentUse *list.List
	byDigest    map[string]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, byRecentUse: list.New(), byDigest: map[string]*list.Element{}}
}

// lookUpAndAdd returns how many leading inputs are cached, and adds or extends the prefix. If that evicts another prefix,
// evicted is its digest. The last position is never counted as cached, since it must run to give a token.
func (c *prefixCache) lookUpAndAdd(digest string, inputs []uint64) (hit int, evicted string, added bool) {
	if element, ok := c.byDigest[digest]; ok {
		c.byRecentUse.MoveToFront(element)
		p := element.Value.(*cachedPrefix)
		hit = min(commonPrefixLength(p.inputs, inputs), len(inputs)-1)
		if len(inputs) > len(p.inputs) {
			p.inputs = inputs
		}
		return hit, "", false
	}
	if c.capacity <= 0 {
		return 0, "", false
	}
	if c.byRecentUse.Len() >= c.capacity {
		evicted = c.remove(c.byRecentUse.Back())
	}
	c.byDigest[digest] = c.byRecentUse.PushFront(&cachedPrefix{digest: digest, inputs: inputs})
	return 0, evicted, true
}

// remove removes an entry and returns its digest.
func (c *prefixCache) remove(element *list.Element) string {
	p := c.byRecentUse.Remove(element).(*cachedPrefix)
	delete(c.byDigest, p.digest)
	return p.digest
}

// clear removes all prefixes and returns their digests.
func (c *prefixCache) clear() []string {
	var digests []string
	for c.byRecentUse.Len() > 0 {
		digests = append(digests, c.remove(c.byRecentUse.Back()))
	}
	return digests
}

// commonPrefixLength returns how many leading values of a and b are equal.
func commonPrefixLength(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
