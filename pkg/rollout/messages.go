package rollout

import (
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// maxDirectives is the largest number of services in one message, and maxDirectiveBytes what they
	// take; more are told of in turn. A directive takes some 120 bytes.
	maxDirectives     = 4
	maxDirectiveBytes = 1200
	// maxReports is the largest number of services that one message reports on. A report takes
	// some 60 bytes, and up to 110 for each of at most 14 sides; 40 is usual.
	maxReports = 1
	// evaluateInterval is the shortest time between two comparisons of the versions upon reports.
	evaluateInterval = 50 * time.Millisecond
	// movedBefore is the time for which all requests must have gone to the new version before an
	// instance says that none is in progress elsewhere: one that was placed before is sent meanwhile.
	movedBefore = 150 * time.Millisecond
)

// Directives returns the newest directives to pass on, of a few services in turn.
func (r *Registry) Directives() []Directive {
	var list []Directive
	for _, s := range r.all() {
		if d, ok := s.currentDirective(r.Now()); ok {
			list = append(list, d)
		}
	}
	return withinBytes(inTurn(list, maxDirectives, &r.nextDirective))
}

// withinBytes returns the first directives that a message has room for.
func withinBytes(list []Directive) []Directive {
	size := 0
	for i := range list {
		size += list[i].size()
		if size > maxDirectiveBytes {
			return list[:i]
		}
	}
	return list
}

// inTurn returns a part of a list that begins where the last one ended.
func inTurn[T any](list []T, size int, next *int) []T {
	if len(list) <= size {
		return list
	}
	out := make([]T, 0, size)
	for i := range size {
		out = append(out, list[(*next+i)%len(list)])
	}
	*next = (*next + size) % len(list)
	return out
}

// currentDirective returns the newest directive with its age. Those of orders that are gone are
// passed on too: they tell which versions get no requests.
func (s *service) currentDirective(now time.Time) (Directive, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directive == nil {
		return Directive{}, false
	}
	d := *s.directive
	d.AgeMS = max(0, now.Sub(s.issuedAt).Milliseconds())
	return d, true
}

// ReceiveDirectives takes the directives in that a peer passes on.
func (r *Registry) ReceiveDirectives(list []Directive) {
	for _, d := range list {
		if !d.valid() {
			r.Log.Warn("rollout directive ignored", "service", d.Service, "reason", "invalid")
			continue
		}
		age := time.Duration(d.AgeMS)*time.Millisecond + hopDelay
		if r.follow(d, r.Now().Add(-age)) {
			r.service(d.Service).refreshRule(r)
		}
	}
}

// Issue takes a directive of this instance, the holder, in.
func (r *Registry) Issue(list []Directive) {
	for _, d := range list {
		r.follow(d, r.Now())
		r.service(d.Service).refreshRule(r)
	}
}

// follow follows a directive if it is newer than the one before.
func (r *Registry) follow(d Directive, issuedAt time.Time) bool {
	s := r.service(d.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.directive
	if last != nil && d.order() == last.order() && d.Stage.decided() && !last.Stage.decided() {
		last.Stage = d.Stage // decided by a holder before, whose progress a newer one has not seen
		return true
	}
	if !d.newerThan(last) {
		return false
	}
	s.directive, s.issuedAt = &d, issuedAt
	if last != nil && last.Stage.decided() && d.order() == last.order() {
		d.Stage = last.Stage
	}
	if last == nil || last.order() != d.order() || last.Stage != d.Stage {
		r.Log.Info("rollout directive", "service", d.Service, "to", d.To, "stage", d.Stage.String(), "share", d.Share, "fence", d.Fence, "seq", d.Seq)
	}
	return true
}

// Reports returns this instance's reports, of a few services in turn.
func (r *Registry) Reports() []Report {
	return inTurn(r.OwnReports(), maxReports, &r.nextReport)
}

// OwnReports returns this instance's reports on all services with an order in progress.
func (r *Registry) OwnReports() []Report {
	var list []Report
	for _, s := range r.all() {
		if report, ok := s.report(r.Now()); ok {
			list = append(list, report)
		}
	}
	return list
}

// report returns this instance's report on a service, if it has an order in progress.
func (s *service) report(now time.Time) (Report, bool) {
	current := s.rule.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order == nil || current.order != s.order.ID() || s.counts.order != current.order || s.order.ended() {
		return Report{}, false
	}
	s.counts.seq++
	out := Report{
		Service: s.name, Order: current.order, Seq: s.counts.seq, Stopped: s.counts.bad != "", Quiet: current.stage == Reverted,
		LongestMS: s.counts.longest.Milliseconds(), Tallies: s.counts.ownTallies(),
	}
	if d := s.directive; d != nil && d.order() == current.order {
		out.Fence, out.Applied = d.Fence, d.Seq
	}
	moved := current.moves(now) && !s.movedAt.IsZero() && now.Sub(s.movedAt) >= movedBefore
	out.Drained = moved && s.counts.inProgressElsewhere() == 0
	return out, true
}

// ReceiveReports takes the reports of a peer in. source names its process.
func (r *Registry) ReceiveReports(id, source string, list []Report) {
	for _, report := range list {
		if !report.valid() {
			r.Log.Warn("rollout report ignored", "source", source, "reason", "invalid")
			continue
		}
		if r.receiveReport(id, source, report) {
			r.service(report.Service).refreshRule(r)
		}
	}
}

// receiveReport takes one report in. It returns true if this instance finds the version to be bad now.
func (r *Registry) receiveReport(id, source string, report Report) bool {
	s := r.service(report.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	last, known := c.reports[source]
	if report.Order != c.order || known && report.Seq <= last.Seq || !known && len(c.reports) >= maxSources {
		return false
	}
	c.peers.add(last.Tallies, -1)
	c.peers.add(report.Tallies, 1)
	c.reports[source] = report
	c.newest[id] = source
	if r.Now().Sub(c.evaluatedAt) < evaluateInterval {
		return false // the next step does
	}
	return s.evaluate(r)
}

// Evaluate compares the versions by all counts that are known, and brings the rules up to date.
func (r *Registry) Evaluate() {
	for _, s := range r.all() {
		s.mu.Lock()
		s.evaluate(r)
		s.mu.Unlock()
	}
	r.tick()
}

// evaluate compares the versions. It returns true if the new one is found to be bad now. The caller
// holds the lock.
func (s *service) evaluate(r *Registry) bool {
	c := &s.counts
	if s.order == nil || c.order == 0 || c.bad != "" || s.stageOf(*s.order).terminal() {
		return false
	}
	c.evaluatedAt = r.Now()
	all := c.sums()
	reason := c.eval.update(all)
	if reason == "" {
		return false
	}
	c.bad = reason
	next, others := all.total(true), all.total(false)
	r.metrics.stopped.WithLabelValues(s.name).Inc()
	r.Log.Warn("rollout stopped here", "service", s.name, "to", c.to, "reason", reason, "new_answers", next.Answers, "new_bad", next.Bad, "answers", others.Answers, "bad", others.Bad)
	return true
}

// progress is what an instance knows of one order, for the holder.
type progress struct {
	order *Order
	// doubt is that of the comparison here.
	doubt float64
	// bad is why an instance has found the new version to be bad; "" if none has.
	bad        string
	versions   []string
	candidates int
	sums       sums
	// newest holds the newest report of each peer, by id.
	newest map[string]Report
	// drain is the longest time that a request at the other versions took lately.
	drain     time.Duration
	directive *Directive
}

// progressOf returns what is known of a service.
func (r *Registry) progressOf(s *service) progress {
	list := r.Endpoints.Service(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := progress{bad: s.counts.bad, sums: s.counts.sums(), drain: s.counts.longest}
	if s.directive != nil {
		d := *s.directive
		p.directive = &d
	}
	if s.order == nil {
		return p
	}
	o := *s.order
	p.order = &o
	p.doubt = s.counts.eval.doubt()
	p.versions = s.baseline
	if len(p.versions) == 0 {
		p.versions = s.inForce(o.To)
	}
	for source, report := range s.counts.reports {
		p.drain = max(p.drain, time.Duration(report.LongestMS)*time.Millisecond)
		if report.Stopped && p.bad == "" {
			p.bad = "found by " + source
		}
	}
	p.newest = make(map[string]Report, len(s.counts.newest))
	for id, source := range s.counts.newest {
		p.newest[id] = s.counts.reports[source]
	}
	p.candidates = len(slices.DeleteFunc(slices.Clone(list), func(e *endpoints.Endpoint) bool { return e.Version() != o.To }))
	return p
}
