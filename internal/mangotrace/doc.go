// Package mangotrace tells the story of one request from the log lines of several daemons.
//
// # Usage
//
//	lines, err := mangotrace.Read("edge-1.log", file)
//	story := mangotrace.Tell(lines, "9c41d07be2a35f68")
//	err = story.Write(out)
//
// A story has what was decided about the request, what changed in the belief about the replicas that failed it, and what
// is missing. Lines may have text before their first field, as log collectors add it.
package mangotrace
