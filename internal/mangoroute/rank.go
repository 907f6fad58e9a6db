package mangoroute

import "cmp"

// maxPriority is the least urgent priority that the platform allows.
const maxPriority = 9

// Rank orders requests by urgency.
type Rank struct {
	// Priority is that of the customer, or of the route if the customer has none; 0 is the most urgent.
	Priority int
	// RoutePriority decides between requests of the same Priority. Without it a customer's priority would make all its routes equal.
	RoutePriority int
}

// Compare returns a negative number if the rank is more urgent than another, 0 if they are equal, and a positive one otherwise.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, o.Priority), cmp.Compare(r.RoutePriority, o.RoutePriority))
}

// bounded returns the rank with both priorities within the platform's bounds.
func (r Rank) bounded() Rank {
	return Rank{Priority: min(max(r.Priority, 0), maxPriority), RoutePriority: min(max(r.RoutePriority, 0), maxPriority)}
}
