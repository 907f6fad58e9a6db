// Package mangorevision orders the revisions of a store that can return from a copy of an earlier state. The store gives out the
// revisions after the copy once more then, and its era rises by one. Joined with its era, a revision is one number that is higher than
// all of earlier eras, so that it can be compared, sent and used as a fencing number without its era being lost.
//
// # Usage
//
//	r := mangorevision.Join(era, number)
//	if r > known {
//		log.Printf("the store is at %s", mangorevision.Text(r))
//	}
package mangorevision
