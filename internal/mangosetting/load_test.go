package mangosetting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangochain"
)

const minimal = `[Host]
Name = nieuwegein-1
DataCentre = nieuwegein
Region = nl-centrum
[Callers]
Address = 127.0.0.1:7100
[Operators]
Address = 127.0.0.1:7200
Token = operators-secret
[Peers]
Address = 127.0.0.1:7300
SharedKey = peers-secret
[Platform]
Address = 127.0.0.1:7000
[Log]
Level = info
`

// Guards against defaults that are not applied or are read in the wrong unit.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("minimal.ini", []byte(minimal))
	is.NoErr(err)
	is.Equal(s.GetHost().GetName(), "nieuwegein-1")
	is.Equal(s.GetCallers().GetMaxBody(), int64(1<<20))
	is.Equal(s.GetPeers().GetExchangeInterval(), int64(1000))
	is.Equal(s.GetLimits().GetLedgerRetention(), int64(24*60*60*1000))
	is.True(s.GetPlacement().GetEnabled())
}

// Guards against a fault that is missed, names the wrong key or hides the faults after it.
func TestParseFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown section", "[Log]", "[Logs]", []string{"[Logs]: unknown section", "did you mean Log?"}},
		{"unknown key", "Level = info", "Levl = info", []string{"[Log] Levl: unknown key", "did you mean Level?"}},
		{"missing section", "[Platform]\nAddress = 127.0.0.1:7000\n", "", []string{"[Platform]: missing section", "Address"}},
		{"missing key", "Region = nl-centrum\n", "", []string{"[Host] Region: missing key"}},
		{"empty key", "Region = nl-centrum", "Region =", []string{"[Host] Region: missing key"}},
		{"bad unit", "[Log]", "[Limits]\nDispatchBound = 5\n[Log]", []string{`DispatchBound = "5": not a duration`, "from 100ms to 1m"}},
		{"bad size", "[Operators]", "MaxBody = 1MB\n[Operators]", []string{`MaxBody = "1MB": not a size`, "from 1KiB to 64MiB"}},
		{"huge size", "[Operators]", "MaxBody = 9999999999GiB\n[Operators]", []string{"out of range"}},
		{"out of range", "[Operators]", "MaxConnections = 0\n[Operators]", []string{`MaxConnections = "0": out of range`, "from 1 to 1000000"}},
		{"bad number", "[Operators]", "MaxConnections = many\n[Operators]", []string{"not a whole number"}},
		{"bad address", "127.0.0.1:7000", "localhost:7000", []string{`Address = "localhost:7000": not an IP address`}},
		{"port 0", "127.0.0.1:7000", "127.0.0.1:0", []string{"port 0"}},
		{"duplicate address", "127.0.0.1:7200", "127.0.0.1:7100", []string{`[Operators] Address = "127.0.0.1:7100": collides with [Callers] Address`}},
		{"wildcard address", "127.0.0.1:7200", "0.0.0.0:7100", []string{"collides with [Callers] Address"}},
		{"duplicate key", "Name = nieuwegein-1", "Name = a\nName = b", []string{`[Host] Name = "a | b": duplicate key`}},
		{"duplicate key in a second section", "[Log]", "[Host]\nName = b\n[Log]", []string{"duplicate key"}},
		{"duplicate secret", "Token = operators-secret", "Token = x\nToken = operators-secret", []string{`Token = "REDACTED": duplicate key`}},
		{"malformed line", "[Log]", "what is this\n[Log]", []string{"line 15 is malformed"}},
		{"two faults", "Region = nl-centrum\n", "Region = NL\nColour = red\n", []string{"unknown key", "not a name"}},
		{"key before sections", "[Host]", "Stray = 1\n[Host]", []string{"Stray: key before the first section"}},
		{"choice", "Level = info", "Level = loud", []string{`Level = "loud": unknown word`, "debug, info, warning, error"}},
		{"flag", "[Log]", "[Placement]\nEnabled = yes\n[Log]", []string{"true or false"}},
		{"certificate without key", "[Operators]", "CertificateFile = testdata/certificate.pem\n[Operators]", []string{"[Callers] KeyFile: missing key"}},
		{"missing file", "[Operators]", "CertificateFile = testdata/none.pem\n[Operators]", []string{"not a regular file"}},
		{"peers without key", "SharedKey = peers-secret\n", "", []string{"[Peers] SharedKey: missing key"}},
		{"one peer file", "SharedKey = peers-secret\n", "KeyFile = testdata/certificate.pem\n", []string{"1 of 3 files"}},
		{"step timeouts", "[Log]", "[Routing]\nStepTimeoutMin = 2s\n[Log]", []string{`StepTimeoutMin = "2s": above StepTimeoutMax`}},
		{"link costs", "[Log]", "[Routing]\nLinkCosts = houten:zeist\n[Log]", []string{"not a DataCentre:DataCentre=delay pair"}},
		{"duplicate seed", "[Platform]", "Seeds = 127.0.0.1:1,127.0.0.1:1\n[Platform]", []string{"duplicate item"}},
		{"empty list item", "[Platform]", "Seeds = 127.0.0.1:1,\n[Platform]", []string{"empty item"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(minimal, tt.old))
			_, err := Parse("host.ini", []byte(strings.Replace(minimal, tt.old, tt.new, 1)))
			var fault *Error
			is.True(errors.As(err, &fault))
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is not in:\n%v", w, err)
				}
			}
			is.True(!strings.Contains(err.Error(), "operators-secret")) // secrets stay out of errors
		})
	}
}

// Guards against a printed file that differs from the settings in force, and against secrets in it.
func TestEffective(t *testing.T) {
	is := is.New(t)
	s, err := Parse("minimal.ini", []byte(minimal))
	is.NoErr(err)
	text := Effective(s)
	is.True(!strings.Contains(text, "operators-secret"))
	is.True(!strings.Contains(text, "peers-secret"))
	again, err := Parse("effective.ini", []byte(text))
	is.NoErr(err)
	again.Operators.Token, again.Peers.SharedKey = "operators-secret", "peers-secret"
	is.True(proto.Equal(s, again))
}

// Guards against a missing file that is taken for empty settings.
func TestLoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "host.ini")
	_, err := Load(path)
	var fault *Error
	is.True(errors.As(err, &fault))
	is.Equal(fault.Kind, KindRead)
	is.NoErr(os.WriteFile(path, []byte(minimal), 0o600))
	_, err = Load(path)
	is.NoErr(err)
}

// Guards against link delays that hold in one direction only or override a stated opposite direction.
func TestLinkCosts(t *testing.T) {
	is := is.New(t)
	links, err := ParseLinkDelays("a:b=400us, b:c=1ms, c:b=2ms")
	is.NoErr(err)
	is.Equal(links, map[mangochain.Link]time.Duration{
		{From: "a", To: "b"}: 400 * time.Microsecond, {From: "b", To: "a"}: 400 * time.Microsecond,
		{From: "b", To: "c"}: time.Millisecond, {From: "c", To: "b"}: 2 * time.Millisecond,
	})
	for _, bad := range []string{"a:b", "a=1ms", "a:b=1", "a:b=-1ms", "a:b=1h", "a:b=1ms,a:b=2ms", ","} {
		_, err := ParseLinkDelays(bad)
		is.True(err != nil) // refused
	}
}

// Guards against a panic on arbitrary files and against accepted settings that do not survive printing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.ini", data)
		if err != nil {
			return
		}
		if _, err := Parse("effective.ini", []byte(Effective(s))); err != nil {
			t.Errorf("effective settings are refused: %v", err)
		}
	})
}
