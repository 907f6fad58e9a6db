package mangobench

import "mangopath.org/mangopath/internal/mangonaive"

// naiveRetries are those that a blind retry in front of upstreams commonly has.
const naiveRetries = 2

// NaiveSettings returns the naive router's settings for the addresses of the upstreams by name.
func (d *Deployment) NaiveSettings(addresses map[string]string) mangonaive.Settings {
	settings := mangonaive.Settings{TimeoutMs: 2000, Retries: naiveRetries}
	var stages []mangonaive.Stage
	for i := range len(d.ModelProfile.Stages) - 1 {
		stage := mangonaive.Stage{FromLayer: d.ModelProfile.Stages[i], ToLayer: d.ModelProfile.Stages[i+1]}
		for _, h := range d.Engines {
			if h.FromLayer == stage.FromLayer {
				stage.Replicas = append(stage.Replicas, addresses[h.Name])
			}
		}
		stages = append(stages, stage)
	}
	for name := range d.aliases("completion") {
		settings.Profiles = append(settings.Profiles, mangonaive.Profile{
			Name: name, Model: d.ModelProfile.Model, Version: d.ModelProfile.Version, Adapters: d.ModelProfile.Adapters, Stages: stages,
		})
	}
	var services []string
	for _, h := range d.Services {
		services = append(services, addresses[h.Name])
	}
	for name := range d.aliases("service") {
		settings.Profiles = append(settings.Profiles, mangonaive.Profile{Name: name, Services: services})
	}
	return settings
}
