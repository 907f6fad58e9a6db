package mangoroute

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path at which replicas say whether they take requests.
	HealthPath string
	// Engine describes the model; nil for plain services.
	Engine *Engine
}

// Split reports whether the service is a model that is split by layers.
func (s *Service) Split() bool { return s != nil && s.Engine != nil && s.Engine.Layers > 0 }

// Engine describes the engines of a model that is split by layers.
type Engine struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer, in units of 10^6 bytes.
	LayerMB float64
	// TokenBytes is the memory of one token in all layers.
	TokenBytes float64
	// StepMS is the time of a decode step over all layers on the reference accelerator.
	StepMS float64
	// LoadSeconds is the time to load all layers.
	LoadSeconds float64
	// MaxParallelLoads is the number of loads that do not slow each other down.
	MaxParallelLoads int
	// MeanAnswerTokens is the mean length of an answer.
	MeanAnswerTokens float64
	Accelerators map[string]Accelerator
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	// MemoryMB is its memory, in units of 10^6 bytes.
	MemoryMB float64
	// StepFactor is the time of a decode step relative to the reference accelerator.
	StepFactor float64
}

// MaxLayers returns the number of layers that leave room for tokens of requests on an accelerator.
func (e *Engine) MaxLayers(accelerator string, tokens float64) int {
	a, ok := e.Accelerators[accelerator]
	if !ok || e.LayerMB <= 0 || e.Layers <= 0 {
		return 0
	}
	perLayer := e.LayerMB + tokens*e.TokenBytes/float64(e.Layers)/1e6
	return min(int(a.MemoryMB/perLayer), e.Layers)
}

// TokenCapacity returns the tokens of requests that an accelerator has room for beside a number of layers.
func (e *Engine) TokenCapacity(accelerator string, layers int) float64 {
	a, ok := e.Accelerators[accelerator]
	if !ok || layers <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	free := (a.MemoryMB - float64(layers)*e.LayerMB) * 1e6
	return max(0, free/(e.TokenBytes/float64(e.Layers)*float64(layers)))
}
