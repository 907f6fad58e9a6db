package mangosetting

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// Guards against settings that the operators' page does not have or states with another default.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/operations.md")
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
				t.Errorf("section %s of the page has no row %q", s.Name(), row)
			}
		}
	}
}
