package speed

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// sampleMemory is the number of samples over which older ones fade.
	sampleDecay = 150
	// timeMemory is the time over which older samples fade.
	timeDecay = 20 * time.Second
	// peerMemory is how long the samples of a peer that has fallen silent count.
	peerTTL = 10 * time.Second
	// solveEvery is the number of samples between two solutions.
	solveInterval = 8
	// priorWeight is the weight of the last solution among the samples, in samples.
	priorWeight = 24.0
	// scaledSamples is the number of samples until which the last solution, or the
	// first guess, only is scaled to fit them.
	scaleOnlySamples = 32
	// maxScale bounds the logarithm of that scale.
	maxLogScale = 6.0
	// leastPrior keeps the sums solvable where nothing was learnt.
	minPrior = 0.01
	// outlierSpreads is the distance from the fit, in usual distances, to which
	// outliers are cut.
	outlierFactor = 4
	// uncutSamples is the number of samples before outliers are told from others by
	// their distance from the usual; until then they are cut at earlyLimit, in shares
	// of what is expected, or not at all where nothing is known.
	outlierMinSamples = 12
	earlyOutlierLimit = 2.0
	// earlyShare is the weight that the first samples keep.
	earlyWeight = 0.2
	// leastExpected bounds from below what a sample is compared with, in milliseconds.
	minExpected = 0.01
	// leastShare and mostShare bound the weight of a sample: errors are compared as
	// shares of what is expected, so that long prompts don't outweigh the others.
	minSampleWeight, maxSampleWeight = 0.05, 4.0
	// residualWeight is the weight of the newest sample in what is known of the distances.
	residualWeight = 1.0 / 16
	// leanLimit is the moving mean of the distances' signs at which the fit is taken
	// for outdated, and outdatedShare the weight that its samples keep.
	biasLimit      = 0.8
	outdatedWeight = 0.05
)

// heardMoments are the sums of a peer.
type peerMoments struct {
	moments
	receivedAt time.Time
}

// fit is a linear fit that forgets old samples, cuts outliers and takes in the
// samples of peers. It isn't safe for concurrent use.
type fit struct {
	terms vector
	// bound keeps the terms within what is possible.
	bound func(*vector)
	own   moments
	peers map[string]*peerMoments
	// at is the time of the newest sample.
	lastSample time.Time
	// spread is the moving mean of the distances as a share of what was expected,
	// lean that of their signs, and seen the number of samples in them.
	meanError, bias float64
	samples         int
	// usual is the moving mean of what was expected.
	meanExpected float64
	unsolved     int
	// learnt is the number of samples that the terms were made from.
	solvedSamples float64
	// guess holds the terms before the endpoints changed, and scale the mean
	// logarithm of how far the samples since are from them.
	baseline vector
	logScale float64
	// The rest is reused between solutions.
	products *mat.SymDense
	results  *mat.VecDense
	factor   mat.Cholesky
	solution mat.VecDense
}

func newFit(start vector, bound func(*vector)) fit {
	return fit{
		terms: start, baseline: start, bound: bound, peers: make(map[string]*peerMoments),
		products: mat.NewSymDense(maxTerms, nil), results: mat.NewVecDense(maxTerms, nil),
	}
}

// sample takes one measured value and tells whether the terms were solved anew.
func (f *fit) addSample(x vector, y float64, now time.Time) bool {
	f.decay(now)
	expected := max(f.terms.dot(x), minExpected)
	f.updateScale(x, y)
	residual := f.clip((y - expected) / expected)
	f.meanExpected += f.newestWeight() * (expected - f.meanExpected)
	weight := clamp(math.Pow(f.meanExpected/expected, 2), minSampleWeight, maxSampleWeight)
	f.own.addSample(x, expected*(1+residual), weight)
	f.unsolved++
	if f.unsolved < solveInterval {
		return false
	}
	f.solve(now)
	return true
}

// fade lets older samples count less.
func (f *fit) decay(now time.Time) {
	factor := 1 - 1.0/sampleDecay
	if !f.lastSample.IsZero() {
		factor *= math.Exp(-max(0, now.Sub(f.lastSample).Seconds()) / timeDecay.Seconds())
	}
	f.own.scale(factor)
	f.lastSample = now
}

// rescale takes a sample into the scale of the guess.
func (f *fit) updateScale(x vector, y float64) {
	ratio := max(y, minExpected) / max(f.baseline.dot(x), minExpected)
	f.logScale += (clamp(math.Log(ratio), -maxLogScale, maxLogScale) - f.logScale) / float64(f.samples+1)
}

// newest is the weight of the newest sample in the moving means.
func (f *fit) newestWeight() float64 { return max(residualWeight, 1/float64(f.samples)) }

// cut takes the distance of a sample and returns it without the part that makes
// it an outlier.
func (f *fit) clip(residual float64) float64 {
	f.samples++
	if f.samples == 2*outlierMinSamples {
		// The first ones were taken in while outliers could not be told from others.
		f.own.scale(earlyWeight)
	}
	f.detectChange(residual)
	if limit := f.clipLimit(); limit > 0 {
		residual = clamp(residual, -limit, limit)
	}
	f.meanError += f.newestWeight() * (math.Abs(residual) - f.meanError)
	return residual
}

// limit is the distance at which outliers are cut; 0 if nothing is known yet.
func (f *fit) clipLimit() float64 {
	if f.samples > outlierMinSamples {
		return outlierFactor * f.meanError
	}
	if f.solvedSamples < minSamples {
		return 0
	}
	return earlyOutlierLimit
}

// notice drops most of what was learnt where the samples lie on one side of it:
// the endpoints have changed.
func (f *fit) detectChange(residual float64) {
	f.bias += residualWeight * (math.Copysign(1, residual) - f.bias)
	if math.Abs(f.bias) < biasLimit {
		return
	}
	f.own.scale(outdatedWeight)
	f.bias = 0
	f.solvedSamples = 0
	f.baseline = f.terms
	f.logScale = 0
	f.samples = 1
	f.unsolved = solveInterval
}

// heard takes the sums of a peer.
func (f *fit) setPeer(source string, m moments, now time.Time) {
	f.peers[source] = &peerMoments{moments: m, receivedAt: now}
	f.solve(now)
}

// pooled returns the sums over the samples of all instances.
func (f *fit) pooled(now time.Time) moments {
	all := f.own
	for source, p := range f.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(f.peers, source)
			continue
		}
		all.add(&p.moments)
	}
	return all
}

// solve finds the terms that fit all samples best. Where samples don't tell, the
// last solution stays.
func (f *fit) solve(now time.Time) {
	f.unsolved = 0
	all := f.pooled(now)
	f.solvedSamples = max(f.solvedSamples, all.count)
	prior := f.prior()
	at := 0
	for i := range maxTerms {
		for j := i; j < maxTerms; j++ {
			f.products.SetSym(i, j, all.products[at])
			at++
		}
		diagonal := f.products.At(i, i)
		ridge := minPrior + priorWeight*diagonal/max(1, all.count)
		f.products.SetSym(i, i, diagonal+ridge)
		f.results.SetVec(i, all.results[i]+ridge*prior[i])
	}
	if !f.factor.Factorize(f.products) {
		return // the sums are no sums of squares: rounding, or a peer's nonsense
	}
	if err := f.factor.SolveVecTo(&f.solution, f.results); err != nil {
		return // nearly singular: the last solution stays
	}
	f.accept(&f.solution)
}

// prior returns the terms that stay where the samples don't tell.
func (f *fit) prior() vector {
	if f.solvedSamples >= scaleOnlySamples {
		return f.terms
	}
	factor := math.Exp(f.logScale)
	scaledBaseline := f.baseline
	for i := range scaledBaseline {
		scaledBaseline[i] *= factor
	}
	return scaledBaseline
}

// take brings a solution into force unless it is no number.
func (f *fit) accept(terms *mat.VecDense) {
	var next vector
	for i := range next {
		next[i] = terms.AtVec(i)
		if math.IsNaN(next[i]) || math.IsInf(next[i], 0) {
			return
		}
	}
	f.bound(&next)
	f.terms = next
}
