package poison

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Bounds on one report, so that it fits into a datagram.
const (
	maxReportTraits  = 256
	maxReportCrashes = 32
)

// ErrReport is returned for data that isn't a valid report.
var ErrReport = eris.New("poison: invalid report")

// report is what an instance tells all others at once.
type report struct {
	_ struct{} `cbor:",toarray"`
	// Crashes holds the crashes that the instance has seen, and Sound suspected traits of
	// which it has seen a request answered.
	Crashes []crashReport
	Sound   []Trait
	// Entries holds traits whose quarantine has changed.
	Entries []Entry
}

// crashReport is a crash with the requests that broke off.
type crashReport struct {
	_        struct{} `cbor:",toarray"`
	Process  process
	Requests []Request
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
	out := report{Sound: cut(&r.Sound, maxReportTraits), Entries: cut(&r.Entries, maxReportCrashes)}
	left := maxReportTraits - len(out.Sound)
	for len(r.Crashes) > 0 && len(out.Crashes) < maxReportCrashes && left >= maxRequestTraits {
		c := &r.Crashes[0]
		requests := cut(&c.Requests, requestsWithin(c.Requests, left))
		for _, q := range requests {
			left -= len(q.traits())
		}
		out.Crashes = append(out.Crashes, crashReport{Process: c.Process, Requests: requests})
		if len(c.Requests) == 0 {
			r.Crashes = r.Crashes[1:]
		}
	}
	return out
}

// maxRequestTraits is the largest number of traits of one request.
const maxRequestTraits = maxParts + 2

// requestsWithin returns how many of the first requests have no more traits than the limit.
func requestsWithin(requests []Request, limit int) int {
	for n, r := range requests {
		if limit -= len(r.traits()); limit < 0 {
			return n
		}
	}
	return len(requests)
}

// cut removes and returns the first elements of a list, at most n.
func cut[T any](list *[]T, n int) []T {
	n = min(n, len(*list))
	out := (*list)[:n:n]
	*list = (*list)[n:]
	return out
}
