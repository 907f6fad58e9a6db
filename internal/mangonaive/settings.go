package mangonaive

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Stage lists the replicas that hold the same range of layers.
type Stage struct {
	FromLayer uint32
	ToLayer   uint32
	// Replicas are the IP addresses and ports of the replicas.
	Replicas []string
}

// Profile is a model with its stages in layer order, or a plain service with its replicas.
type Profile struct {
	Name     string
	Model    string
	Version  string
	Adapters []string
	Stages   []Stage
	// Services are the replicas of a plain service.
	Services []string
}

// Settings list the replicas, which do not change at run time, and bound waiting and retries.
type Settings struct {
	Profiles []Profile
	// TimeoutMs bounds each connection, step and service call; 0 means 2 s.
	TimeoutMs int64
	// Retries is the number of retries of each call; there is no retry budget over all calls.
	Retries int
}

// ReadSettings reads settings from a JSON file and validates them.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "read settings")
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Wrap(err, path)
	}
	return s, errors.Wrap(s.validate(), path)
}

func (s Settings) validate() error {
	for _, p := range s.Profiles {
		if len(p.Stages) == 0 && len(p.Services) == 0 {
			return fmt.Errorf("profile %q must have Stages or Services", p.Name)
		}
		for _, stage := range p.Stages {
			if len(stage.Replicas) == 0 {
				return fmt.Errorf("profile %q: Replicas of layers %d to %d must not be empty", p.Name, stage.FromLayer, stage.ToLayer)
			}
		}
	}
	return nil
}
