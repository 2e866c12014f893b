package config

import (
	"crypto/sha256"
	"encoding/json"
	"slices"
)

// index holds the precomputed lookups of a document. It is immutable; int values
// are positions in the document's slices.
type index struct {
	workspaceByKey  map[[sha256.Size]byte]int
	workspaceByName map[string]int
	serviceByModel  map[string]int
	serviceByName   map[string]int
	presetByName    map[string]int
	// allowed holds the allowed data centres for each preset and workspace.
	allowed map[presetWorkspace][]string
	prices  map[classDataCentre]Price
}

type presetWorkspace struct{ preset, workspace string }

type classDataCentre struct{ class, dataCentre string }

// Compile builds the lookup index. Decoding does this automatically, so only
// documents built in other ways need it. It is not safe for concurrent use.
func (d *Document) Compile() {
	x := &index{
		workspaceByKey:  make(map[[sha256.Size]byte]int),
		workspaceByName: make(map[string]int),
		serviceByModel:  make(map[string]int),
		serviceByName:   make(map[string]int),
		presetByName:    make(map[string]int),
		allowed:         make(map[presetWorkspace][]string),
		prices:          make(map[classDataCentre]Price),
	}
	x.indexWorkspaces(d.Workspaces)
	x.indexServices(d.Services)
	x.indexPresets(d)
	x.indexPrices(d.Classes)
	d.index = x
}

// UnmarshalJSON decodes a document and builds its lookup index.
func (d *Document) UnmarshalJSON(data []byte) error {
	type withoutMethods Document // avoids recursion into UnmarshalJSON
	if err := json.Unmarshal(data, (*withoutMethods)(d)); err != nil {
		return err
	}
	d.Compile()
	return nil
}

// Clone returns a deep copy that may be modified. It has no index, so its
// lookups are linear until Compile is called.
func (d *Document) Clone() (*Document, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	out := &Document{}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, err
	}
	out.index = nil
	return out, nil
}

// setIfAbsent stores i unless the key is already present, so that the index
// returns the first match, as a linear search does.
func setIfAbsent[K comparable](m map[K]int, key K, i int) {
	if _, ok := m[key]; !ok {
		m[key] = i
	}
}

func (x *index) indexWorkspaces(list []Workspace) {
	for i, w := range list {
		setIfAbsent(x.workspaceByName, w.Name, i)
		for _, text := range w.KeyHashes {
			if sum, ok := ParseKeyHash(text); ok {
				setIfAbsent(x.workspaceByKey, sum, i)
			}
		}
	}
}

func (x *index) indexServices(list []Service) {
	for i, s := range list {
		setIfAbsent(x.serviceByName, s.Name, i)
		for _, m := range s.Models {
			setIfAbsent(x.serviceByModel, m, i)
		}
	}
}

func (x *index) indexPresets(d *Document) {
	for i, p := range d.Presets {
		setIfAbsent(x.presetByName, p.Name, i)
		if x.presetByName[p.Name] != i {
			continue
		}
		for j := range d.Workspaces {
			w := &d.Workspaces[j]
			if x.workspaceByName[w.Name] != j {
				continue
			}
			x.allowed[presetWorkspace{p.Name, w.Name}] = slices.Clip(openDataCentres(w, &d.Presets[i]))
		}
	}
}

func (x *index) indexPrices(list []MachineClass) {
	for _, c := range list {
		for _, p := range c.Prices {
			key := classDataCentre{c.Name, p.DataCentre}
			if _, ok := x.prices[key]; !ok {
				x.prices[key] = p
			}
		}
	}
}
