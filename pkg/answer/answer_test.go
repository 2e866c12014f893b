package answer_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/answer"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

func TestAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "answer", suite, reporter)
}

func tokens(from, to int) []engine.Token {
	var out []engine.Token
	for i := from; i < to; i++ {
		out = append(out, engine.Token{Index: i})
	}
	return out
}

func final(i int) []engine.Token {
	return []engine.Token{{Index: i, Finish: engine.FinishStop}}
}

var _ = Describe("Log", func() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()

	It("shows tokens only once they are released", func() {
		l := answer.NewLog(true)
		Expect(l.Append(tokens(0, 3))).To(Succeed())
		_, _, err := l.Read(ended, 0)
		Expect(err).To(MatchError(context.Canceled))
		l.Release(2)
		got, last, err := l.Read(ended, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(tokens(0, 2)))
		Expect(last).To(BeFalse())
	})

	It("ignores repeated tokens and tokens after a gap", func() {
		l := answer.NewLog(false)
		Expect(l.Append(tokens(0, 3))).To(Succeed())
		Expect(l.Append(tokens(1, 4))).To(Succeed())
		Expect(l.Append(tokens(6, 7))).To(Succeed())
		Expect(l.Tokens(0)).To(Equal(tokens(0, 4)))
	})

	It("does not report the end before the final token is visible", func() {
		l := answer.NewLog(true)
		Expect(l.Append(final(0))).To(Succeed())
		_, last, _ := l.Read(ended, 0)
		Expect(last).To(BeFalse())
		l.Release(1)
		_, last, err := l.Read(ended, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(last).To(BeTrue())
	})

	It("returns released tokens before the failure", func() {
		l := answer.NewLog(false)
		Expect(l.Append(tokens(0, 1))).To(Succeed())
		cause := errors.New("cause")
		l.Fail(cause)
		got, last, err := l.Read(ended, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(1))
		Expect(last).To(BeFalse())
		_, _, err = l.Read(ended, 1)
		Expect(err).To(MatchError(cause))
		Expect(l.Append(tokens(1, 2))).To(MatchError(answer.ErrEnded))
	})

	It("ignores Fail once the answer is complete", func() {
		l := answer.NewLog(false)
		Expect(l.Append(final(0))).To(Succeed())
		l.Fail(errors.New("late"))
		_, err := l.Ended()
		Expect(err).NotTo(HaveOccurred())
	})

	It("shows tokens released during a freeze only after Unfreeze", func() {
		l := answer.NewLog(true)
		Expect(l.Append(tokens(0, 2))).To(Succeed())
		l.Release(1)
		l.Freeze()
		l.Release(2)
		Expect(l.Released()).To(Equal(1))
		l.Unfreeze()
		Expect(l.Released()).To(Equal(2))
	})

	It("drops unreleased tokens on Truncate, so that other tokens can replace them", func() {
		l := answer.NewLog(true)
		Expect(l.Append(tokens(0, 3))).To(Succeed())
		l.Release(1)
		Expect(l.Truncate()).To(Equal(1))
		l.ReleaseAll()
		other := []engine.Token{{Index: 1, Text: "other"}}
		Expect(l.Append(other)).To(Succeed())
		got, _, err := l.Read(ended, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(other))
	})
})
