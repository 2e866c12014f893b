package speed

const (
	// maxTerms is the largest number of terms of a fit.
	maxTerms = 4
	// maxProducts is the number of different products of two inputs.
	maxProducts = maxTerms * (maxTerms + 1) / 2
)

// vector holds the inputs or the terms (coefficients) of a fit.
type vector [maxTerms]float64

func (v vector) dot(o vector) float64 {
	sum := 0.0
	for i, x := range v {
		sum += x * o[i]
	}
	return sum
}

// moments holds the weighted sums from which a linear least-squares fit is solved. The
// moments of several instances can be added to get those over all their samples.
type moments struct {
	// products holds the sums of the products of two inputs: the upper triangle with the
	// diagonal, row by row. results holds the sums of the products of an input and the
	// measured value.
	products [maxProducts]float64
	results  vector
	// count is the number of samples.
	count float64
}

func (m *moments) scale(factor float64) {
	for i := range m.products {
		m.products[i] *= factor
	}
	for i := range m.results {
		m.results[i] *= factor
	}
	m.count *= factor
}

func (m *moments) add(o *moments) {
	for i, p := range o.products {
		m.products[i] += p
	}
	for i, r := range o.results {
		m.results[i] += r
	}
	m.count += o.count
}

func (m *moments) addSample(x vector, y, weight float64) {
	m.count++
	k := 0
	for i := range x {
		for j := i; j < maxTerms; j++ {
			m.products[k] += weight * x[i] * x[j]
			k++
		}
		m.results[i] += weight * x[i] * y
	}
}
