package mangosetting

import (
	"os"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// MaxFileSize bounds a settings file, in bytes.
const MaxFileSize = 1 << 20

// Load reads and checks the settings file at path. The error is an *Error with all faults.
func Load(path string) (*mangomessage.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "Load", Kind: KindRead, Err: errors.WithStack(err)}
	}
	return Parse(path, data)
}

// Parse reads and checks the text of a settings file; name stands for the file in faults. The error is an *Error with all
// faults.
func Parse(name string, data []byte) (*mangomessage.Settings, error) {
	c := &checker{file: name}
	settings := &mangomessage.Settings{}
	if found, ok := c.scanFile(data); ok {
		c.fillSettings(settings.ProtoReflect(), found)
		c.checkUniqueAddresses(settings.ProtoReflect())
		c.checkCombinations(settings)
	}
	if len(c.faults) > 0 {
		return nil, &Error{Op: "Parse", Kind: KindInvalid, Faults: c.faults}
	}
	return settings, nil
}

// LoadRelay reads and checks the settings file of a relay, the daemon that serves the platform's requests. The error is an
// *Error with all faults.
func LoadRelay(path string) (*mangomessage.RelaySettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "LoadRelay", Kind: KindRead, Err: errors.WithStack(err)}
	}
	return ParseRelay(path, data)
}

// ParseRelay reads and checks the text of a relay's settings file; name stands for the file in faults. The error is an
// *Error with all faults.
func ParseRelay(name string, data []byte) (*mangomessage.RelaySettings, error) {
	c := &checker{file: name}
	settings := &mangomessage.RelaySettings{}
	if found, ok := c.scanFile(data); ok {
		c.fillSettings(settings.ProtoReflect(), found)
		c.checkUniqueAddresses(settings.ProtoReflect())
	}
	if len(c.faults) > 0 {
		return nil, &Error{Op: "ParseRelay", Kind: KindInvalid, Faults: c.faults}
	}
	return settings, nil
}

// checker collects the faults of one file.
type checker struct {
	file   string
	faults []Fault
}

func (c *checker) report(section, key, value, problem, allowed string) {
	c.faults = append(c.faults, Fault{
		File: c.file, Section: section, Key: key, Value: value, Problem: problem, Allowed: allowed,
	})
}
