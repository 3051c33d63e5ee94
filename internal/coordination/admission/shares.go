// Package admission shares a capacity among customers by weighted max-min
// fairness: nobody gets more than they ask for, and what the small ones leave
// goes to the others in proportion to their weights. It is pure.
package admission

import "slices"

// Demand is what one customer asks of a capacity.
type Demand struct {
	// Weight scales the customer's share; at least 1.
	Weight float64
	// Want is what the customer asks for, in the unit of the capacity.
	Want float64
}

// Shares divides a capacity by weighted max-min fairness, in the order of the
// demands.
func Shares(capacity float64, demands []Demand) []float64 {
	order := make([]int, len(demands))
	totalWeight := 0.0
	for i, d := range demands {
		order[i] = i
		totalWeight += d.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return compareWantPerWeight(demands[a], demands[b])
	})
	shares := make([]float64, len(demands))
	remaining := capacity
	for _, i := range order {
		d := demands[i]
		shares[i] = min(d.Want, remaining*d.Weight/totalWeight)
		remaining = max(remaining-shares[i], 0)
		totalWeight -= d.Weight
	}
	return shares
}

// compareWantPerWeight orders demands by what they want for each unit of weight.
func compareWantPerWeight(a, b Demand) int {
	x := a.Want * b.Weight
	y := b.Want * a.Weight
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}
