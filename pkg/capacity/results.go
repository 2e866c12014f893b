package capacity

import (
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// RecordStart returns the state after a start that returned an instance, either a new
// one or that of an earlier start with the same token.
func RecordStart(st State, r cloud.StartRequest, in cloud.Instance, now time.Time) State {
	out := st.Clone()
	s := out.slotByToken(r.Token)
	if s == nil || s.Phase != PhasePending {
		return out
	}
	s.phaseSince = now
	if in.State == cloud.StateGone {
		s.Generation++
		s.Phase = PhaseFree
		out.Drains = slices.DeleteFunc(out.Drains, func(d Drain) bool { return d.Instance == in.ID })
		return out
	}
	s.Phase, s.Instance = PhaseRunning, in.ID
	s.Request.DataCentre, s.Request.Reclaimable = in.DataCentre, in.Reclaimable
	if i := out.refusalIndex(in.DataCentre, in.Class, in.Reclaimable); i >= 0 {
		out.Refusals[i].Backoff = 0
	}
	return out
}

// RecordRefusal returns the state after a start that the platform refused. The slot
// keeps its generation: no instance was started, and a late repeat from a former
// holder must have the same token as the next start.
func RecordRefusal(st State, r cloud.StartRequest, now time.Time, t Tuning, random float64) State {
	out := st.Clone()
	if s := out.slotByToken(r.Token); s != nil && s.Phase == PhasePending {
		s.Phase, s.phaseSince = PhaseFree, now
	}
	i := out.refusalIndex(r.DataCentre, r.Class, r.Reclaimable)
	if i < 0 {
		i = len(out.Refusals)
		out.Refusals = append(out.Refusals, Refusal{DataCentre: r.DataCentre, Class: r.Class, Reclaimable: r.Reclaimable})
	}
	x := &out.Refusals[i]
	x.Backoff = min(max(2*x.Backoff, t.RefusalBackoff), t.RefusalBackoffMax)
	x.until = now.Add(x.Backoff/2 + time.Duration(random*float64(x.Backoff/2)))
	return out
}
