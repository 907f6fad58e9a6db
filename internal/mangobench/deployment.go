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

// largeWeight is the weight in the book from which a customer counts as large.
const largeWeight = 4

// EngineSpeed is the speed of each replica.
type EngineSpeed struct {
	MaxBatch int
	StepTime     time.Duration
}

// Host is a process of the fleet.
type Host struct {
	Name       string
	DataCentre string
	// From and To bound the layers of an engine.
	FromLayer uint32
	ToLayer   uint32
}

// Deployment is an example's fleet and book.
type Deployment struct {
	Name    string
	Entries []*mangomessage.Entry
	// Model is the profile that defines the stages.
	ModelProfile     *mangomessage.Profile
	Engines   []Host
	Services  []Host
	Daemons   []Host
	LinkCosts string
	Region    string
	Customers []*mangomessage.Customer
	Engine    EngineSpeed
}

// ReadDeployment reads the profiles and settings of an example.
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
		d.take(e)
	}
	if d.ModelProfile == nil {
		return nil, fmt.Errorf("%s: no profile has Stages", path)
	}
	d.placeEngines()
	return d, d.readDaemons(filepath.Join(dir, "settings"))
}

func (d *Deployment) take(e *mangomessage.Entry) {
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

// placeEngines deals the stages out over all hosts in turn, so that no stage has more than one replica above another.
func (d *Deployment) placeEngines() {
	stages := d.ModelProfile.Stages
	for _, place := range d.ModelProfile.Places {
		for _, name := range place.Hosts {
			i := len(d.Engines) % (len(stages) - 1)
			d.Engines = append(d.Engines, Host{Name: name, DataCentre: place.DataCentre, FromLayer: stages[i], ToLayer: stages[i+1]})
		}
	}
}

func (d *Deployment) readDaemons(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("%s: no settings", dir)
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

// ThroughputBound returns the tokens per second that the engines allow: the maximum flow through the graph of layers.
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

// SpareEngine returns an engine whose loss leaves the bound as it is: one of the stage with the most replicas.
func (d *Deployment) SpareEngine() string {
	replicas, last := map[uint32]int{}, map[uint32]string{}
	best := uint32(0)
	for _, h := range d.Engines {
		replicas[h.FromLayer]++
		last[h.FromLayer] = h.Name
		if replicas[h.FromLayer] > replicas[best] {
			best = h.FromLayer
		}
	}
	return last[best]
}

func testKey(customer string) string { return "test-key-" + customer }

// aliases returns the aliases of profiles of a kind that are not the bare model, with their profiles.
func (d *Deployment) aliases(kind string) map[string]*mangomessage.Profile {
	profiles, found := map[string]*mangomessage.Profile{}, map[string]*mangomessage.Profile{}
	for _, e := range d.Entries {
		if p := e.GetProfile(); p != nil && p.Kind == kind && len(p.Stages) == 0 {
			profiles[p.Name] = p
		}
	}
	for _, e := range d.Entries {
		if a := e.GetAlias(); a != nil && profiles[a.Target] != nil {
			found[a.Name] = profiles[a.Target]
		}
	}
	return found
}

// IsSmallCustomer says whether a customer's weight in the book is small.
func (d *Deployment) IsSmallCustomer(name string) bool {
	return slices.ContainsFunc(d.Customers, func(c *mangomessage.Customer) bool {
		return strings.EqualFold(c.Name, name) && c.Weight < largeWeight
	})
}
