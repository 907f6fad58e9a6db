package mangopipeline

import "mangopath.org/mangopath/internal/mangoreplica"

// UnknownPressure returns, by data centre and layer, the share of the memory of a layer's holders that unknown requests take behind
// their first stage, which alone has reported them: a request keeps its tokens at all layers. The result has no entry for a data centre
// in which all requests are known.
func UnknownPressure(view View) map[string][]float64 {
	out := map[string][]float64{}
	for _, r := range view.Replicas {
		load := view.Status.FleetLoad(r.ID, view.Now)
		if load.Unknown <= 0 || r.Layers.Len() == 0 || r.Layers.From > 0 || r.Layers.To > view.Engine.Layers {
			continue
		}
		if out[r.DataCentre] == nil {
			out[r.DataCentre] = make([]float64, view.Engine.Layers)
		}
		// The requests take no more than the memory of their first stage, so that a replica that reports too many requests does not fill the
		// later stages of its data centre.
		tokens := min(load.UnknownTokens, view.Engine.TokenCapacity(r.Accelerator, r.Layers.Len()))
		for l := r.Layers.To; l < view.Engine.Layers; l++ {
			out[r.DataCentre][l] += tokens
		}
	}
	for name, tokens := range out {
		for l, capacity := range capacityOfLayers(view, name) {
			if capacity <= 0 {
				tokens[l] = 0
				continue
			}
			tokens[l] /= capacity
		}
	}
	return out
}

// capacityOfLayers returns the memory of the holders of each layer of the model in a data centre, in tokens.
func capacityOfLayers(view View, dataCentre string) []float64 {
	layers := make([]float64, view.Engine.Layers)
	for _, r := range view.Replicas {
		if r.DataCentre != dataCentre || r.Layers.To > len(layers) {
			continue
		}
		capacity := view.Engine.TokenCapacity(r.Accelerator, r.Layers.Len())
		for i := max(r.Layers.From, 0); i < r.Layers.To; i++ {
			layers[i] += capacity
		}
	}
	return layers
}

// MeanOver returns the mean of a value of each layer over a range of layers; 0 if there are no values.
func MeanOver(r mangoreplica.LayerRange, values []float64) float64 {
	sum := 0.0
	for i := max(r.From, 0); i < min(r.To, len(values)); i++ {
		sum += values[i]
	}
	return sum / float64(max(r.Len(), 1))
}
