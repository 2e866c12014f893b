package poison

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Bounds on one report, so that it fits into a datagram.
const (
	maxReportParts   = 256
	maxReportCrashes = 32
)

// ErrReport is returned for data that isn't a valid report.
var ErrReport = eris.New("poison: invalid report")

// report is what an instance tells all others at once.
type report struct {
	_ struct{} `cbor:",toarray"`
	// Crashes holds the crashes that the instance has seen, and Sound suspected parts of
	// which it has seen a request answered.
	Crashes []crashReport
	Sound   []Part
	// Entries holds parts whose quarantine has changed.
	Entries []Entry
}

// crashReport is a crash with the parts of the requests that broke off.
type crashReport struct {
	_       struct{} `cbor:",toarray"`
	Process process
	Parts   []Part
}

func (r *report) empty() bool { return len(r.Crashes)+len(r.Sound)+len(r.Entries) == 0 }

func (r *report) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "poison: encode report")
}

func decodeReport(data []byte) (report, error) {
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return report{}, eris.Wrap(ErrReport, err.Error())
	}
	return r, nil
}

// take removes and returns the next part of what is to be reported that fits into one
// datagram.
func (r *report) take() report {
	out := report{Sound: cut(&r.Sound, maxReportParts), Entries: cut(&r.Entries, maxReportCrashes)}
	left := maxReportParts - len(out.Sound)
	for len(r.Crashes) > 0 && len(out.Crashes) < maxReportCrashes && left > 0 {
		c := &r.Crashes[0]
		parts := cut(&c.Parts, left)
		left -= len(parts)
		out.Crashes = append(out.Crashes, crashReport{Process: c.Process, Parts: parts})
		if len(c.Parts) == 0 {
			r.Crashes = r.Crashes[1:]
		}
	}
	return out
}

// cut removes and returns the first elements of a list, at most n.
func cut[T any](list *[]T, n int) []T {
	n = min(n, len(*list))
	out := (*list)[:n:n]
	*list = (*list)[n:]
	return out
}
