// Package mangoprofile holds the configuration book, which operators change: profiles, aliases, customers and drain marks
// of hosts.
//
// # Usage
//
// A Book is immutable; With returns a copy at a later revision:
//
//	book := mangoprofile.New()
//	book, err := book.With(&mangomessage.Entry{Revision: 1, ChangeId: "c1", Content: content})
//	profile, err := book.Resolve("adoption")
//
// Messages that a book returns are shared by all of its readers and must not be changed.
package mangoprofile
