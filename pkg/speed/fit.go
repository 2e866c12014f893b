package speed

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

const (
	// sampleDecay is the number of samples in which the weight of older ones decays by a
	// factor of e.
	sampleDecay = 150
	// timeDecay is the time in which the weight of older samples decays by a factor of e.
	timeDecay = 20 * time.Second
	// peerTTL is how long the sums of a peer are used after they were received.
	peerTTL = 10 * time.Second
	// solveInterval is the number of samples after which the fit is solved again.
	solveInterval = 8
	// priorWeight is the weight of the prior terms, in samples.
	priorWeight = 24.0
	// scaleOnlySamples is the number of samples below which the prior is the baseline
	// scaled to the samples, instead of the last solution.
	scaleOnlySamples = 32
	// maxLogScale bounds the logarithm of that scale.
	maxLogScale = 6.0
	// minPrior keeps the equations solvable if an input had no samples.
	minPrior = 0.01
	// outlierFactor is the multiple of the mean error to which the residuals of outliers
	// are clipped.
	outlierFactor = 4
	// outlierMinSamples is the number of samples after which residuals are clipped
	// relative to the mean error. Until then they are clipped at earlyOutlierLimit, as a
	// share of the expected value, or not at all while the terms are solved from fewer
	// than minSamples samples.
	outlierMinSamples = 12
	earlyOutlierLimit = 2.0
	// earlyWeight is the factor applied to the weight of the first samples once later
	// ones can be clipped.
	earlyWeight = 0.2
	// minExpected is the smallest expected value that a sample is compared with, in
	// milliseconds.
	minExpected = 0.01
	// minSampleWeight and maxSampleWeight bound the weight of a sample: samples are weighted
	// by relative error, so that long prompts don't outweigh the others.
	minSampleWeight, maxSampleWeight = 0.05, 4.0
	// residualWeight is the weight of the newest sample in the moving means.
	residualWeight = 1.0 / 16
	// biasLimit is the moving mean of the residuals' signs from which the fit counts as
	// outdated, and outdatedWeight the factor then applied to the weight of its samples.
	biasLimit      = 0.8
	outdatedWeight = 0.05
)

// peerMoments holds the sums received from a peer.
type peerMoments struct {
	moments
	receivedAt time.Time
}

// fit is a linear fit with decaying samples, clipped outliers and the samples of peers.
// It isn't safe for concurrent use.
type fit struct {
	terms vector
	// bound limits the terms to plausible values.
	bound func(*vector)
	own   moments
	peers map[string]*peerMoments
	// lastSample is the time of the newest sample.
	lastSample time.Time
	// meanError is the moving mean of the absolute relative residuals, bias that of their
	// signs, and samples the number of samples in these means.
	meanError, bias float64
	samples         int
	// meanExpected is the moving mean of the expected values.
	meanExpected float64
	unsolved     int
	// solvedSamples is the largest number of samples that the terms were solved from since
	// the last change of the endpoints.
	solvedSamples float64
	// baseline holds the initial terms, or those before the last change of the endpoints,
	// and logScale the mean logarithm of the ratio of later samples to them.
	baseline vector
	logScale float64
	// The following are buffers reused by solve.
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

// addSample adds one measured value and reports whether the fit was solved again.
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

// decay reduces the weight of older samples.
func (f *fit) decay(now time.Time) {
	factor := 1 - 1.0/sampleDecay
	if !f.lastSample.IsZero() {
		factor *= math.Exp(-max(0, now.Sub(f.lastSample).Seconds()) / timeDecay.Seconds())
	}
	f.own.scale(factor)
	f.lastSample = now
}

// updateScale adds a sample to logScale.
func (f *fit) updateScale(x vector, y float64) {
	ratio := max(y, minExpected) / max(f.baseline.dot(x), minExpected)
	f.logScale += (clamp(math.Log(ratio), -maxLogScale, maxLogScale) - f.logScale) / float64(f.samples+1)
}

// newestWeight returns the weight of the newest sample in the moving means.
func (f *fit) newestWeight() float64 { return max(residualWeight, 1/float64(f.samples)) }

// clip updates the moving means with the relative residual of a sample and returns the
// residual clipped to clipLimit.
func (f *fit) clip(residual float64) float64 {
	f.samples++
	if f.samples == 2*outlierMinSamples {
		// The first samples were added before outliers could be recognised.
		f.own.scale(earlyWeight)
	}
	f.detectChange(residual)
	if limit := f.clipLimit(); limit > 0 {
		residual = clamp(residual, -limit, limit)
	}
	f.meanError += f.newestWeight() * (math.Abs(residual) - f.meanError)
	return residual
}

// clipLimit returns the largest absolute residual that isn't clipped; 0 if there is no limit
// yet.
func (f *fit) clipLimit() float64 {
	if f.samples > outlierMinSamples {
		return outlierFactor * f.meanError
	}
	if f.solvedSamples < minSamples {
		return 0
	}
	return earlyOutlierLimit
}

// detectChange reduces the weight of all samples if nearly all recent residuals have the
// same sign: the endpoints have changed.
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

// setPeer replaces the sums of a peer and solves the fit.
func (f *fit) setPeer(source string, m moments, now time.Time) {
	f.peers[source] = &peerMoments{moments: m, receivedAt: now}
	f.solve(now)
}

// pooled returns the sums over the samples of this instance and its peers.
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

// solve computes the least-squares terms for all samples, regularised towards the prior.
func (f *fit) solve(now time.Time) {
	f.unsolved = 0
	all := f.pooled(now)
	f.solvedSamples = max(f.solvedSamples, all.count)
	prior := f.prior()
	k := 0
	for i := range maxTerms {
		for j := i; j < maxTerms; j++ {
			f.products.SetSym(i, j, all.products[k])
			k++
		}
		diagonal := f.products.At(i, i)
		ridge := minPrior + priorWeight*diagonal/max(1, all.count)
		f.products.SetSym(i, i, diagonal+ridge)
		f.results.SetVec(i, all.results[i]+ridge*prior[i])
	}
	if !f.factor.Factorize(f.products) {
		return // not positive definite, from rounding or invalid sums of a peer
	}
	if err := f.factor.SolveVecTo(&f.solution, f.results); err != nil {
		return // nearly singular: keep the last solution
	}
	f.accept(&f.solution)
}

// prior returns the terms towards which solve regularises.
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

// accept sets the terms to a solution, limited by bound, if it is finite.
func (f *fit) accept(solution *mat.VecDense) {
	var next vector
	for i := range next {
		next[i] = solution.AtVec(i)
		if math.IsNaN(next[i]) || math.IsInf(next[i], 0) {
			return
		}
	}
	f.bound(&next)
	f.terms = next
}
