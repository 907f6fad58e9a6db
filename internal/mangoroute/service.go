package mangoroute

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the replicas' health check.
	HealthPath string
	// MaxConnections is the number of connections from all daemons together that a replica takes; 0 if it is not stated.
	MaxConnections int
	// Engine describes the model of a service that is split by layers; nil for plain services.
	Engine *Engine
}

// Split reports whether the service serves a model that is split by layers over several replicas.
func (s *Service) Split() bool { return s != nil && s.Engine != nil && s.Engine.Layers > 0 }

// Engine describes a model that is split by layers, and the accelerators that can run it.
type Engine struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory for the weights of one layer, in units of 10^6 bytes.
	LayerMB float64
	// TokenBytes is the memory of the key-value cache for one token in all layers.
	TokenBytes float64
	// StepMS is the time of a decode step over all layers on the reference accelerator.
	StepMS float64
	// LoadSeconds is the time to load the weights of all layers.
	LoadSeconds float64
	// MaxParallelLoads is the number of replicas that can load layers at the same time without slowing each other down.
	MaxParallelLoads int
	// MeanAnswerTokens is the mean length of an answer, in tokens.
	MeanAnswerTokens float64
	Accelerators     map[string]Accelerator
}

// Accelerator describes a type of accelerator.
type Accelerator struct {
	// MemoryMB is the memory of one accelerator, in units of 10^6 bytes.
	MemoryMB float64
	// StepFactor is the time of a decode step relative to the reference accelerator.
	StepFactor float64
}

// MaxLayers returns the largest number of layers that fit on an accelerator together with the key-value cache of the given
// number of tokens; 0 if the accelerator is unknown.
func (e *Engine) MaxLayers(accelerator string, tokens float64) int {
	a, ok := e.Accelerators[accelerator]
	if !ok || e.LayerMB <= 0 || e.Layers <= 0 {
		return 0
	}
	perLayer := e.LayerMB + tokens*e.TokenBytes/float64(e.Layers)/1e6
	return min(int(a.MemoryMB/perLayer), e.Layers)
}

// TokenCapacity returns the number of tokens whose key-value cache fits on an accelerator beside a number of layers; 0 if
// the accelerator is unknown.
func (e *Engine) TokenCapacity(accelerator string, layers int) float64 {
	a, ok := e.Accelerators[accelerator]
	if !ok || layers <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	free := (a.MemoryMB - float64(layers)*e.LayerMB) * 1e6
	return max(0, free/(e.TokenBytes/float64(e.Layers)*float64(layers)))
}
