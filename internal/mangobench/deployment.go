package mangobench

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/pkg/mangoclient"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// minLargeWeight is the weight in the configuration book from which a customer counts as large.
const minLargeWeight = 4

// EngineSpeed is the batch size and the duration of a step, which are the same for all replicas.
type EngineSpeed struct {
	MaxBatch int
	StepTime time.Duration
}

// Host is a host of the fleet, which runs one engine, service or daemon.
type Host struct {
	Name       string
	DataCentre string
	// FromLayer and ToLayer bound the layers of an engine; ToLayer is exclusive.
	FromLayer uint32
	ToLayer   uint32
}

// Deployment holds the hosts and the configuration book of an example.
type Deployment struct {
	Name    string
	Entries []*mangomessage.Entry
	// ModelProfile is the first profile with stages; it defines the model and its stages.
	ModelProfile *mangomessage.Profile
	Engines      []Host
	Services     []Host
	// Daemons are the hosts that run a router.
	Daemons   []Host
	LinkCosts string
	Region    string
	Customers []*mangomessage.Customer
	// Engine is the speed of each engine.
	Engine EngineSpeed
}

// ReadDeployment reads the profiles and settings of an example and places its engines.
func ReadDeployment(dir string, engine EngineSpeed) (*Deployment, error) {
	path := filepath.Join(dir, "profiles.json")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read profiles")
	}
	entries, err := mangoclient.ParseProfiles(path, data)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Name: filepath.Base(dir), Entries: entries, Engine: engine}
	for _, e := range entries {
		d.addEntry(e)
	}
	if d.ModelProfile == nil {
		return nil, fmt.Errorf("%s: no profile has Stages", path)
	}
	d.placeEngines()
	return d, d.readDaemons(filepath.Join(dir, "settings"))
}

// addEntry takes the customer, the stages or the hosts of the plain service from an entry. Only the first profile with
// stages and the first service profile count.
func (d *Deployment) addEntry(e *mangomessage.Entry) {
	if c := e.GetCustomer(); c != nil {
		d.Customers = append(d.Customers, c)
	}
	p := e.GetProfile()
	switch {
	case p == nil:
	case len(p.Stages) > 0 && d.ModelProfile == nil:
		d.ModelProfile = p
	case p.Kind == "service" && len(d.Services) == 0:
		for _, place := range p.Places {
			for _, name := range place.Hosts {
				d.Services = append(d.Services, Host{Name: name, DataCentre: place.DataCentre})
			}
		}
	}
}

// placeEngines assigns the stages to the hosts in turn, so that the numbers of replicas of two stages differ by at most one.
func (d *Deployment) placeEngines() {
	stages := d.ModelProfile.Stages
	for _, place := range d.ModelProfile.Places {
		for _, name := range place.Hosts {
			i := len(d.Engines) % (len(stages) - 1)
			d.Engines = append(d.Engines, Host{Name: name, DataCentre: place.DataCentre, FromLayer: stages[i], ToLayer: stages[i+1]})
		}
	}
}

// readDaemons reads the daemons, the region and the link costs from the settings files of a directory.
func (d *Deployment) readDaemons(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("%s: there are no settings files (*.ini)", dir)
	}
	for _, path := range files {
		settings, err := ini.Load(path)
		if err != nil {
			return errors.Wrap(err, path)
		}
		host := settings.Section("Host")
		d.Daemons = append(d.Daemons, Host{Name: host.Key("Name").String(), DataCentre: host.Key("DataCentre").String()})
		d.Region = host.Key("Region").String()
		if costs := settings.Section("Routing").Key("LinkCosts").String(); costs != "" {
			d.LinkCosts = costs
		}
	}
	slices.SortFunc(d.Daemons, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return nil
}

// ThroughputBound returns the highest number of tokens per second that the engines can generate: the maximum flow
// through the graph of layers.
func (d *Deployment) ThroughputBound() float64 {
	var view mangochain.View
	for _, h := range d.Engines {
		view.Replicas = append(view.Replicas, mangochain.Replica{
			Host: h.Name, DataCentre: h.DataCentre, Model: d.ModelProfile.Model, Version: d.ModelProfile.Version,
			FromLayer: h.FromLayer, ToLayer: h.ToLayer, MaxBatch: d.Engine.MaxBatch, StepTime: d.Engine.StepTime, SlowStartFactor: 1,
		})
	}
	return mangochain.MaxThroughput(view, d.ModelProfile)
}

// SpareEngine returns the host of an engine of the stage with the most replicas. Its loss does not lower the throughput
// bound if another stage has fewer replicas.
func (d *Deployment) SpareEngine() string {
	replicas, lastEngine := map[uint32]int{}, map[uint32]string{}
	largestStage := uint32(0)
	for _, h := range d.Engines {
		replicas[h.FromLayer]++
		lastEngine[h.FromLayer] = h.Name
		if replicas[h.FromLayer] > replicas[largestStage] {
			largestStage = h.FromLayer
		}
	}
	return lastEngine[largestStage]
}

// testAPIKey returns the API key of a customer in the benchmark.
func testAPIKey(customer string) string { return "test-key-" + customer }

// profilesByAlias returns the profiles of a kind by their aliases, without the profile that defines the model's stages.
func (d *Deployment) profilesByAlias(kind string) map[string]*mangomessage.Profile {
	profiles, byAlias := map[string]*mangomessage.Profile{}, map[string]*mangomessage.Profile{}
	for _, e := range d.Entries {
		if p := e.GetProfile(); p != nil && p.Kind == kind && len(p.Stages) == 0 {
			profiles[p.Name] = p
		}
	}
	for _, e := range d.Entries {
		if a := e.GetAlias(); a != nil && profiles[a.Target] != nil {
			byAlias[a.Name] = profiles[a.Target]
		}
	}
	return byAlias
}

// IsSmallCustomer reports whether a customer has a weight in the book that is below that of large customers.
func (d *Deployment) IsSmallCustomer(name string) bool {
	return slices.ContainsFunc(d.Customers, func(c *mangomessage.Customer) bool {
		return strings.EqualFold(c.Name, name) && c.Weight < minLargeWeight
	})
}
