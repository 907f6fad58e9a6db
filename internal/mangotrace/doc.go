// Package mangotrace collects what the logs of several daemons say about one request.
//
// # Usage
//
//	log, err := mangotrace.Read("edge-1.log", file)
//	trace, err := mangotrace.Assemble([]mangotrace.Log{log}, "9c41d07be2a35f68")
//	err = trace.Write(out)
//
// A trace shows what was decided about the request, how the daemons' view of the replicas that failed it changed, and which
// information is missing. Lines may have text before their first field, as log collectors add it.
package mangotrace
