package mangobench

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangoload"
)

func readExample(t *testing.T, name string) *Deployment {
	t.Helper()
	d, err := ReadDeployment(filepath.Join("..", "..", "examples", name), EngineSpeed{MaxBatch: 4, StepTime: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDeployments guards against a benchmark of another size than the design's, or with a bound that its load misses.
func TestDeployments(t *testing.T) {
	for _, name := range []string{"baasje-gezocht", "isartal"} {
		is := is.New(t)
		d := readExample(t, name)
		is.Equal(len(d.Engines), 40)
		is.Equal(len(d.Services), 3)
		is.Equal(len(d.Daemons), 8)
		is.Equal(len(d.Customers), 10)
		is.Equal(d.ThroughputBound(), 13*4/0.02) // 13 replicas of the stages with the fewest
		for _, load := range []float64{0.7, 2} {
			plan := d.LoadPlan([]string{"http://x"}, load, LoadShape{})
			tokens := 0.0
			for _, k := range plan.Kinds {
				if !k.Service {
					tokens += k.Rate * float64(k.MaxTokens)
				}
			}
			is.True(tokens > load*d.ThroughputBound()*0.999 && tokens < load*d.ThroughputBound()*1.001)
			is.True(plan.Customers[0].Share > 0.1 && plan.Customers[9].Share == smallShare)
		}
		spare := d.SpareEngine()
		for i, h := range d.Engines {
			if h.Name == spare {
				d.Engines = append(d.Engines[:i:i], d.Engines[i+1:]...)
				break
			}
		}
		is.Equal(d.ThroughputBound(), 13*4/0.02) // the loss of the spare leaves the bound
	}
}

// TestNewRow guards against goodput that counts late calls, services or another weight.
func TestNewRow(t *testing.T) {
	is := is.New(t)
	d := readExample(t, "isartal")
	plan := mangoload.Plan{Kinds: []mangoload.CallKind{
		{Name: "a", Weight: 3, MaxTokens: 10, Rate: 1}, {Name: "b", Weight: 1, MaxTokens: 30, Rate: 1}, {Name: "s", Service: true, Rate: 1, Weight: 8},
	}}
	result := mangoload.Result{
		AllTokens: 1000,
		Total:     mangoload.CallStats{Sent: 30, Late: 5, Outcomes: map[mangoload.Outcome]int{mangoload.Answered: 20, mangoload.NotRun: 9}},
		Kinds:     map[string]mangoload.CallStats{"a": {Sent: 10, OnTime: 5}, "b": {Sent: 10, OnTime: 0, Late: 5}, "s": {Sent: 10, OnTime: 10}},
		Customers: map[string]mangoload.CallStats{"stadt-muenchen": {Sent: 20, OnTime: 5}, "gemeinde-pullach": {Sent: 10, OnTime: 10}},
	}
	row := NewRow(d, "mangopath", 2, plan, result, 0.5)
	is.Equal(row.Goodput, 2*15.0/40)
	is.Equal(row.TokenGoodput, 2*50.0/400)
	is.Equal(row.ServiceOnTime, 1.0)
	is.Equal(row.SmallOnTime, 1.0)
	is.Equal(row.LargeOnTime, 0.25)
	is.Equal(row.Refused, 0.3)
	is.Equal(row.Failed, 1.0/30)
	is.Equal(row.CPUPerToken, 500.0)
}

// TestReport guards against a report that lacks a router or a plot that no viewer can read.
func TestReport(t *testing.T) {
	is := is.New(t)
	report := Report{Rows: []Row{
		{Deployment: "d", Router: "mangopath", Multiple: 1, Goodput: 0.9}, {Deployment: "d", Router: "naive", Multiple: 1, Goodput: 0.5},
	}}
	report.Added = append(report.Added, NewAddedLatency("mangopath", "token", []time.Duration{time.Millisecond}, []time.Duration{3 * time.Millisecond}))
	report.Recovery = append(report.Recovery, Recovery{Router: "naive", Fault: "kill", Measure: "s", Value: 1.5, Whole: -1})
	table, err := report.Write(t.TempDir())
	is.NoErr(err)
	for _, part := range []string{"| d ", "| naive ", "2.00 / 2.00 / 2.00", "| naive | kill | s | 1.50 | - |"} {
		is.True(strings.Contains(table, part))
	}
	var plot bytes.Buffer
	is.NoErr(WritePlot(&plot, report.Rows))
	decoder := xml.NewDecoder(&plot)
	polylines := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "polyline" {
			polylines++
		}
	}
	is.Equal(polylines, 2)
}
