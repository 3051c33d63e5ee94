package slopes

// Line is the least-squares fit of one metric over the quantity.
type Line struct {
	Metric    string  `json:"metric"`
	Unit      string  `json:"unit"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the coefficient of determination; 1 means that all points are on the
	// line.
	R2 float64 `json:"r2"`
}

// fitAll fits a line to each metric. It returns none for fewer than two points.
func fitAll(points []Point) []Line {
	if len(points) < 2 {
		return nil
	}
	var lines []Line
	for i, m := range points[0].Metrics {
		xs := make([]float64, len(points))
		ys := make([]float64, len(points))
		for j, p := range points {
			xs[j] = p.X
			ys[j] = p.Metrics[i].Value
		}
		line := fit(xs, ys)
		line.Metric = m.Name
		line.Unit = m.Unit
		lines = append(lines, line)
	}
	return lines
}

func fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sumX, sumY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for i := range xs {
		dx, dy := xs[i]-meanX, ys[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	line := Line{Intercept: meanY, R2: 1}
	if xx > 0 {
		line.Slope = xy / xx
		line.Intercept = meanY - line.Slope*meanX
	}
	if xx > 0 && yy > 0 {
		line.R2 = xy * xy / (xx * yy)
	}
	return line
}
