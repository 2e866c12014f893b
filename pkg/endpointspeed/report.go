package endpointspeed

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrReports is the error of reports that can't be decoded.
var ErrReports = eris.New("endpointspeed: invalid reports")

const (
	// reportSize is the size of an encoded report and maxReports the largest number of them in
	// a message, so that they take 600 bytes.
	reportSize = 12
	maxReports = 50
	// maxUrgentReports is the largest number of reports of endpoints that are slow now. Only these
	// are in every message: bytes between data centres are paid for.
	maxUrgentReports = 8
	// One in fullInterval messages includes reports of other endpoints.
	fullInterval = 5
	// countUnit is the unit of the encoded number of samples, and meanUnit that of a mean.
	countUnit, meanUnit = 1.0 / 4, 1.0 / 64
	// recentCountUnit is the unit of the encoded number of recent samples.
	recentCountUnit = 1.0 / 32
	// minReported is the number of samples, faded, from which an endpoint is reported.
	minReported = countUnit
	// minReportedExcess is the recent part, in the logarithm, from which an endpoint is
	// reported before the others.
	minReportedExcess = 0.15
	// ignoredLogInterval is the least time between two log lines on reports that can't be used.
	ignoredLogInterval = time.Minute
)

// Report tells the peers of this instance's samples of one endpoint.
type Report struct {
	// Endpoint is a hash of the key of the endpoint's process.
	Endpoint uint64
	// Count and Mean are the number and mean of the samples of the lasting part. A sample is
	// the logarithm of a ratio, relative to the service.
	Count, Mean float64
	// RecentCount and RecentMean are those of the recent part; 0 unless it is slow.
	RecentCount, RecentMean float64
}

// Reports returns the encoded reports for the n-th message to the peers: those of endpoints that
// are slow now, and in one of fullInterval messages of others, drawn at random: peers get one message
// in several, and would miss the same endpoints each time if turns kept step.
func (f *Factors) Reports(n uint64) []byte {
	now := f.Now()
	var urgent, others []Report
	for _, s := range f.known.Load().byKey {
		r, ok := s.report(now)
		switch {
		case ok && r.RecentCount > 0:
			urgent = append(urgent, r)
		case ok && n%fullInterval == 0:
			others = append(others, r)
		}
	}
	slices.SortFunc(urgent, func(a, b Report) int { return cmp.Compare(b.RecentMean, a.RecentMean) })
	urgent = urgent[:min(len(urgent), maxUrgentReports)]
	reports := slices.Concat(urgent, f.sample(others, maxReports-len(urgent)))
	return encode(reports)
}

// sample returns up to count of the reports, at random. It reorders them.
func (f *Factors) sample(list []Report, count int) []Report {
	if count <= 0 {
		return nil
	}
	if len(list) <= count {
		return list
	}
	for i := range count {
		j := i + f.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count]
}

// report returns the report of an endpoint; false if there is nothing to tell.
func (s *state) report(now time.Time) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownLasting.count < minReported {
		return Report{}, false
	}
	s.fadeOwn(now)
	r := Report{Endpoint: s.hash, Count: s.ownLasting.count, Mean: s.ownLasting.mean()}
	if recentExcess(s.ownRecent, s.service.margin()) >= minReportedExcess {
		r.RecentCount, r.RecentMean = s.ownRecent.count, s.ownRecent.mean()
	}
	return r, r.Count >= minReported
}

// Receive processes the encoded reports of a peer.
func (f *Factors) Receive(from string, data []byte) {
	reports, err := decode(data)
	if err != nil {
		f.ignore(from, err)
		return
	}
	now, known, peer := f.Now(), f.known.Load(), xxhash.Sum64String(from)
	for _, r := range reports {
		// An endpoint that isn't registered here gets no requests from here.
		if s, ok := known.byHash[r.Endpoint]; ok {
			s.setPeer(r.sums(peer, now))
		}
	}
}

// ignore counts reports that can't be used, and logs them at most once in an interval.
func (f *Factors) ignore(from string, err error) {
	f.metrics.ignored.Inc()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.Now(); now.Sub(f.ignoredAt) >= ignoredLogInterval {
		f.ignoredAt = now
		f.Log.Warn("ignoring reports of endpoint speeds", "peer", from, "error", err.Error())
	}
}

// sums returns the sums of a report, within the bounds of samples.
func (r Report) sums(peer uint64, now time.Time) peerSums {
	return peerSums{
		peer: peer, receivedAt: now,
		lasting: sums{count: r.Count, total: r.Count * clamp(r.Mean, maxLog)},
		recent:  sums{count: r.RecentCount, total: r.RecentCount * clamp(r.RecentMean, maxDeviation)},
	}
}

// encode encodes reports, each in reportSize bytes; nil if there are none.
func encode(reports []Report) []byte {
	if len(reports) == 0 {
		return nil
	}
	data := make([]byte, 0, reportSize*len(reports))
	for _, r := range reports {
		data = binary.BigEndian.AppendUint64(data, r.Endpoint)
		data = append(data, encodeCount(r.Count, countUnit), encodeMean(r.Mean), encodeCount(r.RecentCount, recentCountUnit), encodeMean(r.RecentMean))
	}
	return data
}

func encodeCount(count, unit float64) byte {
	return byte(min(math.MaxUint8, math.Round(count/unit)))
}

func encodeMean(mean float64) byte {
	return byte(int8(clamp(math.Round(mean/meanUnit), math.MaxInt8)))
}

func decodeMean(b byte) float64 { return meanUnit * float64(int8(b)) }

// decode decodes the reports of a message.
func decode(data []byte) ([]Report, error) {
	if len(data)%reportSize != 0 || len(data) > maxReports*reportSize {
		return nil, eris.Wrapf(ErrReports, "%d bytes", len(data))
	}
	reports := make([]Report, 0, len(data)/reportSize)
	for b := range slices.Chunk(data, reportSize) {
		reports = append(reports, Report{
			Endpoint: binary.BigEndian.Uint64(b), Count: countUnit * float64(b[8]), Mean: decodeMean(b[9]),
			RecentCount: recentCountUnit * float64(b[10]), RecentMean: decodeMean(b[11]),
		})
	}
	return reports, nil
}
