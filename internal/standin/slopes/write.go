package slopes

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Names of the files of a run, in addition to one plot per metric of each series.
const (
	FileJSON = "slopes.json"
	FileCSV  = "slopes.csv"
)

// Write writes the result as JSON, CSV and plots into the directory.
func Write(result Result, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, FileJSON), append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	if err := writeCSV(result, filepath.Join(dir, FileCSV)); err != nil {
		return err
	}
	return writePlots(result, dir)
}

func writeCSV(result Result, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(file)
	rows := [][]string{{"revision", "seed", "series", "x", "metric", "unit", "value"}}
	seed := strconv.FormatUint(result.Seed, 10)
	for _, s := range result.Series {
		for _, p := range s.Points {
			for _, m := range p.Metrics {
				rows = append(rows, []string{result.Revision, seed, s.Name, number(p.X), m.Name, m.Unit, number(m.Value)})
			}
		}
	}
	if err := writer.WriteAll(rows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// number formats a value with six significant digits.
func number(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// Table returns the points and the fitted lines as text.
func Table(result Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %s, seed %d, %s, %d cores\n",
		result.Revision, result.Seed, result.GoVersion, result.Cores)
	for _, s := range result.Series {
		fmt.Fprintf(&b, "\n%s (%s)\n", s.Name, s.Quantity)
		for i, line := range s.Lines {
			fmt.Fprintf(&b, "  %-24s %-9s", line.Metric, line.Unit)
			for _, p := range s.Points {
				fmt.Fprintf(&b, " %s:%s", number(p.X), number(p.Metrics[i].Value))
			}
			fmt.Fprintf(&b, "  slope %.4g, at zero %.4g, r2 %.3f\n", line.Slope, line.Intercept, line.R2)
		}
	}
	return b.String()
}
