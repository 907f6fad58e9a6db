package mangoclient

import (
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// options are what Option sets.
type options struct {
	client     *http.Client
	rounds     int
	roundDelay time.Duration
}

// Option sets an optional property of a client.
type Option func(*options)

// WithHTTPClient sets the HTTP client, for example for TLS.
func WithHTTPClient(client *http.Client) Option { return func(o *options) { o.client = client } }

// WithRetries sets in how many rounds an Operators client tries all its addresses, and the delay between two rounds. The
// default is 3 rounds with a delay of 500 ms. It has no effect on Callers.
func WithRetries(rounds int, roundDelay time.Duration) Option {
	return func(o *options) { o.rounds, o.roundDelay = rounds, roundDelay }
}

// newOptions returns the default options, changed by opts.
func newOptions(opts []Option) options {
	o := options{client: &http.Client{Timeout: 10 * time.Second}, rounds: 3, roundDelay: 500 * time.Millisecond}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// parseBaseURL returns the URL of an address, which is an IP address and port with an optional http:// or https:// in front.
func parseBaseURL(address string) (string, error) {
	scheme, host, found := strings.Cut(address, "://")
	if !found {
		scheme, host = "http", address
	}
	_, err := netip.ParseAddrPort(host)
	if err != nil || (scheme != "http" && scheme != "https") {
		return "", &Error{
			Op: "Address", Kind: KindInvalid,
			Err: errors.Errorf("%q is not an IP address and port, such as 127.0.0.1:7200 or https://127.0.0.1:7200", address),
		}
	}
	return (&url.URL{Scheme: scheme, Host: host}).String(), nil
}
