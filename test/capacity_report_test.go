package test

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// costDriver is a quantity that a cost grows with.
type costDriver struct {
	name   string
	value  func(s *capacityPoint) float64
	target float64
}

func costDrivers() []costDriver {
	return []costDriver{
		{"fixed", func(*capacityPoint) float64 { return 1 }, 1},
		{"other daemons", func(s *capacityPoint) float64 { return float64(s.daemons - 1) }, 409},
		{"replicas", func(s *capacityPoint) float64 { return float64(s.replicas) }, 4100},
		// One daemon of a data centre at a time reads the host list, once a second.
		{"list lines/s", func(s *capacityPoint) float64 { return float64(s.replicas+s.daemons) / float64(s.daemons) }, 44},
		// Each replica is probed once a second by two daemons.
		{"probes/s", func(s *capacityPoint) float64 { return s.probeRate }, 20},
		{"customers", func(s *capacityPoint) float64 { return float64(s.customers) }, 17000},
		{"profiles", func(s *capacityPoint) float64 { return float64(s.profiles) }, 28},
		{"changes/s", func(s *capacityPoint) float64 { return s.changeRate }, 0.25},
	}
}

// logCapacityReport prints the points, the slopes of a least-squares fit and what they give at the target.
func logCapacityReport(t *testing.T, sizes []*capacityPoint) {
	t.Helper()
	var b strings.Builder
	b.WriteString("\ndaemons replicas customers profiles changes | core[%] mem[MB] in[KB/s] out[KB/s] probes/s  reads writes (store, of all) change in force [s]\n")
	for _, s := range sizes {
		fmt.Fprintln(&b, s)
	}
	for _, c := range []struct {
		name  string
		limit float64
		of    func(s *capacityPoint) float64
	}{
		{"core [%]", 1.6, func(s *capacityPoint) float64 { return s.cpuPercent }},
		{"memory [MB]", 256, func(s *capacityPoint) float64 { return s.memoryMB }},
		{"received [KB/s]", 14, func(s *capacityPoint) float64 { return s.receivedKBps }},
		{"sent [KB/s]", 14, func(s *capacityPoint) float64 { return s.sentKBps }},
	} {
		slopes := fitLeastSquares(sizes, c.of)
		total := 0.0
		fmt.Fprintf(&b, "%s\n", c.name)
		for i, d := range costDrivers() {
			part := slopes[i] * d.target
			total += part
			fmt.Fprintf(&b, "  %-14s %12.6f each x %7g = %9.3f\n", d.name, slopes[i], d.target, part)
		}
		fmt.Fprintf(&b, "  at the target %.2f, limit %g\n", total, c.limit)
	}
	t.Log(b.String())
}

// fitLeastSquares returns the slopes of a least-squares fit of a cost over the drivers.
func fitLeastSquares(sizes []*capacityPoint, cost func(s *capacityPoint) float64) []float64 {
	all := costDrivers()
	n := len(all)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n+1)
		for _, s := range sizes {
			for j := range n {
				rows[i][j] += all[i].value(s) / all[i].target * all[j].value(s) / all[j].target
			}
			rows[i][n] += all[i].value(s) / all[i].target * cost(s)
		}
	}
	solution := solveLinear(rows)
	for i := range solution {
		solution[i] /= all[i].target
	}
	return solution
}

// solveLinear solves linear equations by elimination with pivots; the last column is the right side.
func solveLinear(rows [][]float64) []float64 {
	n := len(rows)
	for i := range n {
		for k := i + 1; k < n; k++ {
			if math.Abs(rows[k][i]) > math.Abs(rows[i][i]) {
				rows[i], rows[k] = rows[k], rows[i]
			}
		}
		for k := range n {
			if k == i || rows[i][i] == 0 {
				continue
			}
			factor := rows[k][i] / rows[i][i]
			for j := i; j <= n; j++ {
				rows[k][j] -= factor * rows[i][j]
			}
		}
	}
	solution := make([]float64, n)
	for i := range n {
		if rows[i][i] != 0 {
			solution[i] = rows[i][n] / rows[i][i]
		}
	}
	return solution
}
