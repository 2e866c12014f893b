package fairshare

import (
	"math"
	"time"
)

const (
	// recentMemory is the time after which demand counts 1/e in what workspaces ask for now, and
	// usualMemory the same in what they usually ask for.
	recentMemory = 1500 * time.Millisecond
	usualMemory  = time.Minute
	// freshMemory is the same for demand that isn't counted as usual yet. Else a workspace's excess
	// load would soon be its usual one: 4 s of it after 15 s of counts raised that by 0.17.
	freshMemory = 6 * time.Second
	// lackMemory is the same for requests that wait or are refused.
	lackMemory = 2 * time.Second
	// maxGap is the longest time between two values of a counter whose difference is counted. With
	// hundreds of workspaces the counts of small ones come in turn.
	maxGap = time.Minute
)

// decay returns the factor by which a sum shrinks in a time.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / memory.Seconds())
}

// remaining returns the share of an amount that came evenly in a time until now which a sum still
// holds.
func remaining(spread, memory time.Duration) float64 {
	if spread <= 0 {
		return 1
	}
	n := spread.Seconds() / memory.Seconds()
	return -math.Expm1(-n) / n
}

// demand is what one workspace asks of a class, at all instances.
type demand struct {
	// own is what this instance was asked for since its start.
	own float64
	// name is the name of the workspace; "" if this instance had no request of it.
	name string
	// recent, fresh and lasting are the sums with the three memories. What is usual is lasting
	// without fresh.
	recent, fresh, lasting float64
	at                     time.Time
}

// add adds an amount that came evenly in a time until now.
func (d *demand) add(amount float64, spread time.Duration, now time.Time) {
	d.advance(now)
	d.recent += amount * remaining(spread, recentMemory)
	d.fresh += amount * remaining(spread, freshMemory)
	d.lasting += amount * remaining(spread, usualMemory)
}

// advance lets older demand count less.
func (d *demand) advance(now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		d.recent *= decay(age, recentMemory)
		d.fresh *= decay(age, freshMemory)
		d.lasting *= decay(age, usualMemory)
		d.at = now
	}
}

// span returns the time that a steady demand fills in a sum with a memory, in seconds, if counts began
// some time ago.
func span(age, memory time.Duration) float64 { return memory.Seconds() * (1 - decay(age, memory)) }

// perSecond returns the recent and the usual demand per second, if counts began some time ago.
func (d *demand) perSecond(age time.Duration) (recent, usual float64) {
	usual = (d.lasting - d.fresh) / (span(age, usualMemory) - span(age, freshMemory))
	return d.recent / span(age, recentMemory), max(0, usual)
}

// count is the work of a class that waited or was refused.
type count struct {
	// own is that of this instance since its start, recent that of all instances lately.
	own, recent float64
	at          time.Time
}

func (c *count) add(amount float64, spread time.Duration, now time.Time) {
	c.recent = c.now(now) + amount*remaining(spread, lackMemory)
	c.at = now
}

// record adds a request of this instance.
func (c *count) record(work float64, now time.Time) {
	c.own += work
	c.add(work, 0, now)
}

// now returns the recent sum.
func (c *count) now(now time.Time) float64 { return c.recent * decay(now.Sub(c.at), lackMemory) }

// rate returns the work per second.
func (c *count) rate(now time.Time) float64 { return c.now(now) / lackMemory.Seconds() }

// counter is the newest value of a cumulative count of a peer, in units. It is kept small, as there is
// one for each workspace and peer.
type counter struct {
	value uint64
	// at is when the value was received, since the start of the class; 0 if none was.
	at time.Duration
}

// next returns the counter with a new value, and the difference and the time in which that came. They
// are 0 if when it came isn't known.
func (c counter) next(value uint64, at time.Duration) (after counter, amount float64, spread time.Duration) {
	after = counter{value: value, at: max(1, at)}
	spread = after.at - c.at
	if c.at == 0 || value < c.value || spread > maxGap {
		return after, 0, 0
	}
	return after, float64(value-c.value) / units, spread
}
