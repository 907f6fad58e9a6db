package mangosetting

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// checkRules checks the rules that concern several settings or the inside of one.
func (c *checker) checkRules(s *mangomessage.Settings) {
	c.checkPair("Callers", s.GetCallers().GetCertificateFile(), s.GetCallers().GetKeyFile())
	c.checkPair("Operators", s.GetOperators().GetCertificateFile(), s.GetOperators().GetKeyFile())
	c.checkPeers(s.GetPeers())
	c.checkSteps(s.GetRouting())
	c.checkLinks(s.GetRouting())
}

func (c *checker) checkPair(section, certificate, key string) {
	if c.isFaulty(section, "CertificateFile", "KeyFile") {
		return
	}
	if certificate != "" && key == "" {
		c.report(section, "KeyFile", "", "missing key", "KeyFile together with CertificateFile, or neither")
	}
	if certificate == "" && key != "" {
		c.report(section, "CertificateFile", "", "missing key", "CertificateFile together with KeyFile, or neither")
	}
}

func (c *checker) checkPeers(s *mangomessage.PeerSettings) {
	if c.isFaulty("Peers", "", "SharedKey", "CertificateFile", "KeyFile", "AuthorityFile") {
		return
	}
	files := 0
	for _, f := range []string{s.GetCertificateFile(), s.GetKeyFile(), s.GetAuthorityFile()} {
		if f != "" {
			files++
		}
	}
	if files == 0 && s.GetSharedKey() == "" {
		c.report("Peers", "SharedKey", "", "missing key", "SharedKey, or CertificateFile, KeyFile and AuthorityFile")
	}
	if files == 1 || files == 2 {
		c.report("Peers", "CertificateFile", s.GetCertificateFile(), fmt.Sprintf("%d of 3 files are given", files),
			"CertificateFile, KeyFile and AuthorityFile together, or none of them")
	}
}

// isFaulty reports whether one of the keys was refused, so that rules that use it say nothing new. The empty key
// stands for a missing section.
func (c *checker) isFaulty(section string, keys ...string) bool {
	for _, f := range c.faults {
		if f.Section == section && slices.Contains(keys, f.Key) {
			return true
		}
	}
	return false
}

func (c *checker) checkSteps(s *mangomessage.RoutingSettings) {
	low, high := s.GetStepTimeoutMin(), s.GetStepTimeoutMax()
	if low != 0 && high != 0 && low > high {
		c.report("Routing", "StepTimeoutMin", formatDuration(low), "above StepTimeoutMax",
			"at most StepTimeoutMax, which is "+formatDuration(high))
	}
}

func (c *checker) checkLinks(s *mangomessage.RoutingSettings) {
	_, err := ParseLinkDelays(s.GetLinkCosts())
	var fault *Error
	if errors.As(err, &fault) {
		c.report("Routing", "LinkCosts", s.GetLinkCosts(), fault.Err.Error(), linkAllowed)
	}
}

// place is where an address was read.
type place struct {
	section, key string
	address      netip.AddrPort
}

// checkUnique reports unique addresses that collide; an unspecified IP address collides with all on its port.
func (c *checker) checkUnique(settings protoreflect.Message) {
	var seen []place
	sections := settings.Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		seen = append(seen, uniqueIn(string(s.Name()), settings.Get(s).Message())...)
	}
	for i, p := range seen {
		for _, q := range seen[:i] {
			if collide(p.address, q.address) {
				c.report(p.section, p.key, p.address.String(), fmt.Sprintf("collides with [%s] %s", q.section, q.key),
					"an address of its own")
			}
		}
	}
}

func uniqueIn(section string, message protoreflect.Message) []place {
	var found []place
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if !ruleOf(f).GetUnique() {
			continue
		}
		if a, err := netip.ParseAddrPort(message.Get(f).String()); err == nil {
			found = append(found, place{section, string(f.Name()), a})
		}
	}
	return found
}

func collide(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
