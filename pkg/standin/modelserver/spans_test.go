package modelserver

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// TestSpans_HashesMatchDispatchPrefixes checks that the prefix hashes in cache
// events are those that package dispatch computes for a job.
func TestSpans_HashesMatchDispatchPrefixes(t *testing.T) {
	g := gomega.NewWithT(t)
	job := &flight.Job{Workspace: "w", Model: "m", Messages: []engine.Message{{Role: "system", Content: "a b"}, {Role: "user", Content: "c"}}}
	var got []uint64
	for _, s := range spans(job.Workspace, job.Model, job.Messages) {
		got = append(got, s.Hash)
	}
	g.Expect(got).To(gomega.Equal(dispatch.Prefixes(job)))
}
