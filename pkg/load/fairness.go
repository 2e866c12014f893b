package load

// fillFairShares sets FairShare of each workspace. The fair shares are the
// weighted max-min fair allocation of all served tokens, limited by the demand
// of each workspace.
func fillFairShares(list []WorkspaceSummary) {
	fair := maxMinShares(list)
	for i := range list {
		list[i].FairShare = 1
		if fair[i] > 0 {
			list[i].FairShare = float64(list[i].ServedTokens) / fair[i]
		}
	}
}

// maxMinShares returns the max-min fair allocation of the served tokens. Each
// round distributes the remaining tokens by weight among the workspaces whose
// demand is not met.
func maxMinShares(list []WorkspaceSummary) []float64 {
	fair := make([]float64, len(list))
	remaining := 0.0
	for _, w := range list {
		remaining += float64(w.ServedTokens)
	}
	for range list {
		weights := 0.0
		for i, w := range list {
			if fair[i] < float64(w.DemandedTokens) {
				weights += float64(w.Weight)
			}
		}
		if weights == 0 || remaining <= 0 {
			break
		}
		remaining = allocateRound(list, fair, remaining, weights)
	}
	return fair
}

// allocateRound adds one round to fair and returns the tokens that remain.
func allocateRound(list []WorkspaceSummary, fair []float64, available, weights float64) float64 {
	remaining := available
	for i, w := range list {
		unmet := float64(w.DemandedTokens) - fair[i]
		if unmet <= 0 {
			continue
		}
		granted := min(unmet, available*float64(w.Weight)/weights)
		fair[i] += granted
		remaining -= granted
	}
	return remaining
}

// jainIndex returns Jain's fairness index over FairShare of the workspaces with
// demand: 1 if all are equal, 1/n if one of n workspaces gets everything.
// Source: R. Jain, D. Chiu, W. Hawe, DEC-TR-301, 1984.
func jainIndex(list []WorkspaceSummary) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, w := range list {
		if w.DemandedTokens == 0 {
			continue
		}
		sum += w.FairShare
		squares += w.FairShare * w.FairShare
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
