package load

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/standin/platform"
)

// Event is a fault or a preset switch during a run.
type Event struct {
	// AtFraction is the fraction of the run after which the event happens, 0 to 1.
	AtFraction float64
	// Path is the path of the fault under /faults; it is ignored if Preset is set.
	Path  string
	Fault platform.Fault
	// Preset is the preset to switch to; empty if the event is a fault.
	Preset string
}

// Scenario is a demand with the events during the run.
type Scenario struct {
	Name   string
	Demand Demand
	Events []Event
}

// Names of the scenarios.
const (
	ScenarioOrdinary    = "ordinary"
	ScenarioPeak        = "peak"
	ScenarioMaintenance = "maintenance"
	ScenarioWave        = "wave"
	ScenarioRefused     = "refused"
	ScenarioOutage      = "outage"
	ScenarioGiant       = "giant"
	ScenarioMixed       = "mixed"
)

// Times of the faults, in real time.
const (
	reclaimGrace = 3 * time.Second
	waveGap      = 1 * time.Second
)

// Factors by which scenarios change the demand.
const (
	rateAmplitude = 0.4
	peakFactor    = 1.6
	giantFactor   = 6
)

// NewScenario returns the scenario with the given name for a configuration.
// Faults affect the first data centres that the configuration lists.
func NewScenario(name string, doc *config.Document, d Demand) (Scenario, error) {
	dcs := make([]string, 0, len(doc.DataCentres))
	for _, dc := range doc.DataCentres {
		dcs = append(dcs, dc.Name)
	}
	if len(dcs) < 2 {
		return Scenario{}, eris.New("load: configuration has fewer than two data centres")
	}
	d.Amplitude = rateAmplitude
	s := Scenario{Name: name, Demand: d}
	switch name {
	case ScenarioOrdinary:
	case ScenarioPeak:
		s.Demand.Rate *= peakFactor
		s.Events = []Event{{AtFraction: 0.1, Preset: "peak"}}
	case ScenarioMaintenance:
		s.Events = []Event{{AtFraction: 0.2, Preset: "maintenance"}}
	case ScenarioWave:
		s.Events = []Event{waveEvent(0.3, dcs[:2])}
	case ScenarioRefused:
		s.Events = []Event{refusalEvent(0.2, dcs[1], true), waveEvent(0.3, dcs[:1]), refusalEvent(0.9, dcs[1], false)}
	case ScenarioOutage:
		s.Events = []Event{storeEvent(0.3, platform.StoreDown), storeEvent(0.6, platform.StoreUp)}
	case ScenarioGiant:
		s.Demand.GiantFactor = giantFactor
	case ScenarioMixed:
		s.Events = []Event{
			waveEvent(0.2, dcs[:1]), {AtFraction: 0.35, Path: "silent"}, {AtFraction: 0.45, Path: "disorder", Fault: platform.Fault{On: true}},
			{AtFraction: 0.55, Path: "disorder"}, {AtFraction: 0.6, Path: "break"}, storeEvent(0.65, platform.StoreDown), storeEvent(0.8, platform.StoreUp),
		}
	default:
		return Scenario{}, eris.Errorf("load: unknown scenario %q", name)
	}
	return s, nil
}

func waveEvent(at float64, dcs []string) Event {
	return Event{AtFraction: at, Path: "wave", Fault: platform.Fault{
		DataCentres: dcs, GraceMS: reclaimGrace.Milliseconds(), GapMS: waveGap.Milliseconds(),
	}}
}

func refusalEvent(at float64, dc string, on bool) Event {
	return Event{AtFraction: at, Path: "refuse", Fault: platform.Fault{DataCentre: dc, On: on}}
}

func storeEvent(at float64, mode platform.StoreMode) Event {
	return Event{AtFraction: at, Path: "store", Fault: platform.Fault{Mode: mode}}
}
