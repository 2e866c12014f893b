package revision

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/config"
)

func TestState_ConfirmFromQuorum(t *testing.T) {
	now := time.Unix(1000, 0)
	voter := func(revision uint64, group int) Answer { return Answer{Revision: revision, Voter: true, Group: group} }
	cases := map[string]struct {
		answers []Answer
		want    bool
	}{
		"two voters of six": {[]Answer{voter(1, 6), voter(1, 6)}, true},
		"one voter":         {[]Answer{voter(1, 6)}, false},
		"one voter and one that isn't registered": {[]Answer{voter(1, 6), {Revision: 1}}, false},
		"two voters of a larger group":            {[]Answer{voter(1, 6), voter(1, 9)}, false},
		"a higher revision":                       {[]Answer{voter(1, 6), voter(1, 6), {Revision: 2}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState(now, true)
			s.Apply(&config.Envelope{Revision: 1})
			NewWithT(t).Expect(s.ConfirmFromQuorum(now, c.answers)).To(Equal(c.want))
		})
	}
}

// A peer with a higher revision must not confirm the lower one; its configuration has
// to be fetched first.
func TestState_PeerWithHigherRevisionDoesNotConfirm(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := NewState(now, true)
	s.Apply(&config.Envelope{Revision: 1})
	g.Expect(s.ConfirmFromPeer(now, Answer{Revision: 2, Confirmed: true})).To(BeTrue())
	g.Expect(s.Fresh(now)).To(BeFalse())
}
