package report

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a file without a header, or without a column, that yields no groups and
// no error, or a panic.
func TestReadGroups_RejectsFileWithoutColumns(t *testing.T) {
	g := NewWithT(t)
	for name, text := range map[string]string{"empty": "", "no columns": "profile,scenario,policy\na,b,c\n"} {
		groups, err := ReadGroups(strings.NewReader(text))
		g.Expect(err).To(MatchError(ErrColumns), name)
		g.Expect(groups).To(BeEmpty(), name)
	}
}
