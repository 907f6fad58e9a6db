package mangobench

import "mangopath.org/mangopath/internal/mangonaive"

// naiveRetries is the number of retries that proxies commonly make without regard to the state of the upstreams.
const naiveRetries = 2

// NaiveSettings returns the settings of the naive router; addresses holds the address of each upstream by the name of its
// host.
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
	for name := range d.profilesByAlias("completion") {
		settings.Profiles = append(settings.Profiles, mangonaive.Profile{
			Name: name, Model: d.ModelProfile.Model, Version: d.ModelProfile.Version, Adapters: d.ModelProfile.Adapters, Stages: stages,
		})
	}
	var services []string
	for _, h := range d.Services {
		services = append(services, addresses[h.Name])
	}
	for name := range d.profilesByAlias("service") {
		settings.Profiles = append(settings.Profiles, mangonaive.Profile{Name: name, Services: services})
	}
	return settings
}
