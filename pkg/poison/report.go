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
	// Unconfirmed holds ends of endpoints that the instance can't confirm yet. It is sent apart
	// from the rest, as an unconfirmedReport.
	Unconfirmed []crashReport `cbor:"-"`
}

// unconfirmedReport is a report of nothing but ends that aren't confirmed.
type unconfirmedReport struct {
	Crashes []crashReport `cbor:"1,keyasint"`
}

// crashReport is a crash with the requests that broke off.
type crashReport struct {
	_        struct{} `cbor:",toarray"`
	Process  process
	Requests []Request
}

func (r *report) empty() bool {
	return len(r.Crashes)+len(r.Sound)+len(r.Entries)+len(r.Unconfirmed) == 0
}

func (r *report) encode() ([]byte, error) {
	var message any = r
	if len(r.Unconfirmed) > 0 {
		message = unconfirmedReport{Crashes: r.Unconfirmed}
	}
	data, err := cbor.Marshal(message)
	return data, eris.Wrap(err, "poison: encode report")
}

func decodeReport(data []byte) (report, error) {
	var r report
	var u unconfirmedReport
	if cbor.Unmarshal(data, &u) == nil && len(u.Crashes) > 0 {
		return report{Unconfirmed: u.Crashes}, nil
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return report{}, eris.Wrap(ErrReport, err.Error())
	}
	return r, nil
}

// take removes and returns the next part of what is to be reported that fits into one
// datagram.
func (r *report) take() report {
	if len(r.Unconfirmed) > 0 {
		return report{Unconfirmed: takeCrashes(&r.Unconfirmed, maxReportTraits)}
	}
	out := report{Sound: cut(&r.Sound, maxReportTraits), Entries: cut(&r.Entries, maxReportCrashes)}
	out.Crashes = takeCrashes(&r.Crashes, maxReportTraits-len(out.Sound))
	return out
}

// takeCrashes removes and returns the next crashes of a list that have at most as many traits as
// are left for them.
func takeCrashes(list *[]crashReport, left int) []crashReport {
	var out []crashReport
	for len(*list) > 0 && len(out) < maxReportCrashes && left >= maxRequestTraits {
		c := &(*list)[0]
		requests := cut(&c.Requests, requestsWithin(c.Requests, left))
		for _, q := range requests {
			left -= len(q.traits())
		}
		out = append(out, crashReport{Process: c.Process, Requests: requests})
		if len(c.Requests) == 0 {
			*list = (*list)[1:]
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
