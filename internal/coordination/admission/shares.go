// Package admission divides a capacity among customers by weighted max-min fairness: no
// customer gets more than its demand, and capacity that customers with a small demand
// leave unused goes to the others in proportion to their weights. The package does no
// I/O and reads no clock.
package admission

import "slices"

// Demand is one customer's demand for a capacity.
type Demand struct {
	// Weight scales the customer's share; at least 1.
	Weight float64
	// Want is the demanded amount, in the unit of the capacity.
	Want float64
}

// Shares divides a capacity by weighted max-min fairness. The result has the order of
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

// compareWantPerWeight orders demands by Want per unit of weight.
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
