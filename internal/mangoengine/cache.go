package mangoengine

import "container/list"

// prefix is the inputs of a prefill under the digest that its caller gave.
type prefix struct {
	digest string
	inputs []uint64
}

// cache remembers the prefixes that were used last. It only saves time and never changes a result.
type cache struct {
	capacity int
	order    *list.List
	byDigest map[string]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), byDigest: map[string]*list.Element{}}
}

// use returns how many leading inputs are cached and adds the prefix, which may evict another. At least the last
// position always runs.
func (c *cache) use(digest string, inputs []uint64) (hit int, evicted string, added bool) {
	if element, ok := c.byDigest[digest]; ok {
		c.order.MoveToFront(element)
		p := element.Value.(*prefix)
		hit = min(common(p.inputs, inputs), len(inputs)-1)
		if len(inputs) > len(p.inputs) {
			p.inputs = inputs
		}
		return hit, "", false
	}
	if c.capacity <= 0 {
		return 0, "", false
	}
	if c.order.Len() >= c.capacity {
		evicted = c.remove(c.order.Back())
	}
	c.byDigest[digest] = c.order.PushFront(&prefix{digest: digest, inputs: inputs})
	return 0, evicted, true
}

func (c *cache) remove(element *list.Element) string {
	p := c.order.Remove(element).(*prefix)
	delete(c.byDigest, p.digest)
	return p.digest
}

// clear removes all prefixes and returns their digests.
func (c *cache) clear() []string {
	var digests []string
	for c.order.Len() > 0 {
		digests = append(digests, c.remove(c.order.Back()))
	}
	return digests
}

// common returns the length of the common prefix.
func common(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
