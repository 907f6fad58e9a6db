package mangoload

import "math"

func (p *Peaks) isValid() bool {
	return p.LengthMs > 0 && p.LengthMs < p.PeriodMs && p.Factor >= 1 && p.Factor*float64(p.LengthMs) <= float64(p.PeriodMs)
}

// maxFactor returns the highest factor of the mean rate.
func (p *Peaks) maxFactor() float64 {
	if p == nil {
		return 1
	}
	return p.Factor
}

// factorAt returns the factor of the mean rate at a time in seconds after the start.
func (p *Peaks) factorAt(at float64) float64 {
	period, length := float64(p.PeriodMs), float64(p.LengthMs)
	if math.Mod(at*1000, period) < length {
		return p.Factor
	}
	return (period - length*p.Factor) / (period - length)
}
