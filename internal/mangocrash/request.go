package mangocrash

import "time"

// Request identifies a request and what it has in common with others. One of these may crash the upstreams that run it.
type Request struct {
	// Parts has the fingerprints of the parts that other requests may have as well, each of them only together with the ones
	// before it.
	Parts []string
	// Fingerprint is that of the whole request; repeats of it have the same one.
	Fingerprint string
}

// fingerprints returns the fingerprints from the widest part to the whole request.
func (r Request) fingerprints() []string {
	return append(append(make([]string, 0, len(r.Parts)+1), r.Parts...), r.Fingerprint)
}

// InFlight is a request that was in flight on a host when it crashed.
type InFlight struct {
	Request
	// SentAt is when the request was sent to the host, if the host took it then and had not begun to answer it when it crashed,
	// else zero.
	SentAt time.Time
}
