package mangosetting

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against settings that docs/OPERATIONS.md lacks or lists with another default.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	sections := (&mangomessage.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		_, page, found := strings.Cut(string(data), "\n### "+string(s.Name())+"\n")
		is.True(found)
		page, _, _ = strings.Cut(page, "\n##")
		fields := s.Message().Fields()
		for j := range fields.Len() {
			f := fields.Get(j)
			row := "| `" + string(f.Name()) + "` | "
			if d := ruleOf(f).GetDefault(); d != "" {
				row += "`" + d + "` |"
			}
			if !strings.Contains(page, row) {
				t.Errorf("section %s of docs/OPERATIONS.md has no row %q", s.Name(), row)
			}
		}
	}
}

// Guards against settings of a relay that docs/OPERATIONS.md lacks or lists with another default.
func TestOperationsPageRelay(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	sections := (&mangomessage.RelaySettings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		if s.Name() == "Log" {
			continue
		}
		_, page, found := strings.Cut(string(data), "\n### Relay "+string(s.Name())+"\n")
		is.True(found)
		page, _, _ = strings.Cut(page, "\n##")
		fields := s.Message().Fields()
		for j := range fields.Len() {
			f := fields.Get(j)
			row := "| `" + string(f.Name()) + "` | "
			if d := ruleOf(f).GetDefault(); d != "" {
				row += "`" + d + "` |"
			}
			if !strings.Contains(page, row) {
				t.Errorf("section Relay %s of docs/OPERATIONS.md has no row %q", s.Name(), row)
			}
		}
	}
}

// Guards against a relay that starts with invalid settings, as when the platform fills in its template wrongly.
func TestParseRelay(t *testing.T) {
	const good = "[Host]\nName = edge-1\nDataCentre = z\nMemory = 284MiB\nFirstStart = true\n[Ingress]\nAddress = 10.0.0.1:80\n" +
		"ReadinessAddress = 10.0.0.1:81\nMetricsAddress = 10.0.0.1:82\n[Peers]\nAddress = 10.0.0.1:83\nSharedKey = k\n" +
		"[Store]\nAddress = 10.0.0.9:1\nMinLeaseTime = 1000ms\n[Bounds]\nGracePeriod = 8s\n[Retry]\nRatio = 0.2\nWindow = 10s\nSlack = 198\n"
	tests := []struct {
		name, from, to string
		fault          string
	}{
		{"valid", "", "", ""},
		{"ratio in words", "Ratio = 0.2", "Ratio = a fifth", `Ratio = "a fifth": not a number`},
		{"negative ratio", "Ratio = 0.2", "Ratio = -1", `Ratio = "-1": out of range`},
		{"NaN ratio", "Ratio = 0.2", "Ratio = NaN", `Ratio = "NaN": out of range`},
		{"no unit", "GracePeriod = 8s", "GracePeriod = 8", `GracePeriod = "8": not a duration`},
		{"no store", "[Store]\nAddress = 10.0.0.9:1\n", "[Store]\n", "Address: missing key"},
		{"addresses that collide", "10.0.0.1:81", "10.0.0.1:80", "collides"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, err := ParseRelay("relay.ini", []byte(strings.Replace(good, tt.from, tt.to, 1)))
			is.Equal(err == nil, tt.fault == "")
			if tt.fault == "" {
				is.Equal(s.GetRetry().GetRatio(), 0.2)
				is.Equal(s.GetBounds().GetGracePeriod(), int64(8000))
				return
			}
			if !strings.Contains(err.Error(), tt.fault) {
				t.Errorf("error %v does not contain %q", err, tt.fault)
			}
		})
	}
}
