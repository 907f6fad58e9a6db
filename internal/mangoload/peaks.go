package mangoload

import "math"

// isValid reports whether the peaks fit into their period and leave a rate of at least 0 outside them.
func (p *Peaks) isValid() bool {
	return p.LengthMs > 0 && p.LengthMs < p.PeriodMs && p.Factor >= 1 && p.Factor*float64(p.LengthMs) <= float64(p.PeriodMs)
}

// maxFactor returns the highest ratio of the rate to the mean rate; without peaks it is 1.
func (p *Peaks) maxFactor() float64 {
	if p == nil {
		return 1
	}
	return p.Factor
}

// factorAt returns the ratio of the rate to the mean rate at a time in seconds after the start. Outside the peaks it is
// lowered so that the mean over a period is 1.
func (p *Peaks) factorAt(at float64) float64 {
	period, length := float64(p.PeriodMs), float64(p.LengthMs)
	if math.Mod(at*1000, period) < length {
		return p.Factor
	}
	return (period - length*p.Factor) / (period - length)
}
