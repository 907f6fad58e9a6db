package mangosetting

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// checkCombinations checks the rules that concern several settings, and the pairs in LinkCosts.
func (c *checker) checkCombinations(s *mangomessage.Settings) {
	c.checkKeyPair("Callers", s.GetCallers().GetCertificateFile(), s.GetCallers().GetKeyFile())
	c.checkKeyPair("Operators", s.GetOperators().GetCertificateFile(), s.GetOperators().GetKeyFile())
	c.checkPeerSecurity(s.GetPeers())
	c.checkStepTimeouts(s.GetRouting())
	c.checkLinkCosts(s.GetRouting())
}

// checkKeyPair reports a certificate without a key or the other way round.
func (c *checker) checkKeyPair(section, certificate, key string) {
	if c.hasFault(section, "CertificateFile", "KeyFile") {
		return
	}
	if certificate != "" && key == "" {
		c.report(section, "KeyFile", "", "missing key", "KeyFile together with CertificateFile, or neither")
	}
	if certificate == "" && key != "" {
		c.report(section, "CertificateFile", "", "missing key", "CertificateFile together with KeyFile, or neither")
	}
}

// checkPeerSecurity reports peers with neither a shared key nor files for mutual TLS, and incomplete sets of files.
func (c *checker) checkPeerSecurity(s *mangomessage.PeerSettings) {
	if c.hasFault("Peers", "", "SharedKey", "CertificateFile", "KeyFile", "AuthorityFile") {
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

// hasFault reports whether one of the keys has a fault already, so that rules which depend on it don't report it again.
// The empty key stands for a missing section.
func (c *checker) hasFault(section string, keys ...string) bool {
	for _, f := range c.faults {
		if f.Section == section && slices.Contains(keys, f.Key) {
			return true
		}
	}
	return false
}

// checkStepTimeouts reports a lower limit above the upper one. A limit of 0 was refused before or is not set.
func (c *checker) checkStepTimeouts(s *mangomessage.RoutingSettings) {
	low, high := s.GetStepTimeoutMin(), s.GetStepTimeoutMax()
	if low != 0 && high != 0 && low > high {
		c.report("Routing", "StepTimeoutMin", formatDuration(low), "above StepTimeoutMax",
			"at most StepTimeoutMax, which is "+formatDuration(high))
	}
}

func (c *checker) checkLinkCosts(s *mangomessage.RoutingSettings) {
	_, err := ParseLinkDelays(s.GetLinkCosts())
	var fault *Error
	if errors.As(err, &fault) {
		c.report("Routing", "LinkCosts", s.GetLinkCosts(), fault.Err.Error(), allowedLinkCosts)
	}
}

// addressSetting is an address and the setting that has it.
type addressSetting struct {
	section, key string
	address      netip.AddrPort
}

// checkUniqueAddresses reports addresses that collide though their rule says Unique, such as those of two listeners.
func (c *checker) checkUniqueAddresses(settings protoreflect.Message) {
	var seen []addressSetting
	sections := settings.Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		seen = append(seen, uniqueAddresses(string(s.Name()), settings.Get(s).Message())...)
	}
	for i, p := range seen {
		for _, q := range seen[:i] {
			if addressesCollide(p.address, q.address) {
				c.report(p.section, p.key, p.address.String(), fmt.Sprintf("collides with [%s] %s", q.section, q.key),
					"an address of its own")
			}
		}
	}
}

// uniqueAddresses returns the valid addresses of a section whose rule says Unique.
func uniqueAddresses(section string, message protoreflect.Message) []addressSetting {
	var found []addressSetting
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if !ruleOf(f).GetUnique() {
			continue
		}
		if a, err := netip.ParseAddrPort(message.Get(f).String()); err == nil {
			found = append(found, addressSetting{section, string(f.Name()), a})
		}
	}
	return found
}

// addressesCollide reports whether two listeners can't have both addresses. An unspecified IP address, such as 0.0.0.0,
// collides with every address on its port.
func addressesCollide(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
