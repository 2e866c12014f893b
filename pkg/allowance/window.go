package allowance

import "time"

const (
	// window is the span over which the known use of a limit is counted.
	window = 8 * time.Second
	// windowBuckets is the number of buckets that a window's use is counted in.
	windowBuckets = 32
	bucketTime    = window / windowBuckets
)

// windowUse is the known use of a limit in the last window: that of this process, and that of the
// peers as they have reported it. The oldest bucket counts until all of it has left the window.
type windowUse struct {
	buckets [windowBuckets + 1]float64
	sum     float64
	// newest is the position of the newest bucket, and since its start.
	newest int
	since  time.Time
}

// advance begins new buckets up to now.
func (w *windowUse) advance(now time.Time) {
	if w.since.IsZero() {
		w.since = now
		return
	}
	if now.Sub(w.since) > window+2*bucketTime {
		*w = windowUse{since: now}
		return
	}
	for now.Sub(w.since) >= bucketTime {
		w.since = w.since.Add(bucketTime)
		w.newest = (w.newest + 1) % len(w.buckets)
		w.sum -= w.buckets[w.newest]
		w.buckets[w.newest] = 0
	}
}

// add counts use at a time; a negative amount corrects what was counted before.
func (w *windowUse) add(amount float64, now time.Time) {
	w.advance(now)
	w.buckets[w.newest] += amount
	w.sum += amount
}

// total returns the use of the window that ends now.
func (w *windowUse) total(now time.Time) float64 {
	w.advance(now)
	return max(0, w.sum)
}

// fill replaces what is known by an amount that is spread evenly over the window before from,
// and by nothing from then until now.
func (w *windowUse) fill(amount float64, from, now time.Time) {
	*w = windowUse{since: now}
	for age := 1; age <= windowBuckets; age++ {
		if now.Add(-time.Duration(age) * bucketTime).Before(from) {
			w.buckets[len(w.buckets)-age] = amount / windowBuckets
			w.sum += amount / windowBuckets
		}
	}
}

const (
	// partTime is the length of the parts in which the use is told to a peer.
	partTime = time.Second
	// partBuckets is the number of buckets in a part.
	partBuckets = int(partTime / bucketTime)
)

// parts returns the use by part, the newest first. The last part may be shorter.
func (w *windowUse) parts(now time.Time) []float64 {
	w.advance(now)
	out := make([]float64, 0, windowBuckets/partBuckets+1)
	for age := range len(w.buckets) {
		if age%partBuckets == 0 {
			out = append(out, 0)
		}
		out[len(out)-1] += w.buckets[(w.newest-age+len(w.buckets))%len(w.buckets)]
	}
	return out
}

// setParts replaces what is known by the use by part. All of a part counts as long as its newest bucket.
func (w *windowUse) setParts(parts []float64, now time.Time) {
	*w = windowUse{since: now}
	for n, use := range parts {
		if age := n * partBuckets; age < len(w.buckets) {
			w.buckets[(len(w.buckets)-age)%len(w.buckets)] = use
			w.sum += use
		}
	}
}
