package origin

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// unversioned stands for the endpoints of a service that register no version. Their builds
// aren't known after a start of all instances.
const unversioned endpoints.Build = 0

// ServiceBuilds holds the builds of one service that serve, or have served lately.
type ServiceBuilds struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Streams is true if a route for streams has led to the service.
	Streams bool
	// Builds is sorted.
	Builds []endpoints.Build
}

// Builds is the stored record of the builds of all services. A build is recorded before streams
// begin at it, as long as others serve that are.
type Builds struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the stored record; 0 if there is none.
	Version  uint64
	Services []ServiceBuilds
	// SinceMS is the true time in Unix milliseconds since when the record has been complete; 0
	// if it was from the first start of the whole system on.
	SinceMS int64
	// History is the history number of the store when the record was written.
	History uint64
}

// storedBuilds is the record as it is stored. Builds are hexadecimal, since the store may read
// numbers as floating point.
type storedBuilds struct {
	Services []storedService `json:"services"`
	SinceMS  int64           `json:"since_ms"`
	History  uint64          `json:"history"`
}

type storedService struct {
	Service string   `json:"service"`
	Streams bool     `json:"streams"`
	Builds  []string `json:"builds"`
}

// ErrRecord is returned for a stored record that can't be decoded.
var ErrRecord = eris.New("origin: invalid record")

func (b Builds) encode() ([]byte, error) {
	out := storedBuilds{SinceMS: b.SinceMS, History: b.History}
	for _, s := range b.Services {
		stored := storedService{Service: s.Service, Streams: s.Streams}
		for _, build := range s.Builds {
			stored.Builds = append(stored.Builds, strconv.FormatUint(uint64(build), 16))
		}
		out.Services = append(out.Services, stored)
	}
	data, err := json.Marshal(out)
	return data, eris.Wrap(err, "origin: encode builds")
}

func decodeBuilds(o objectstore.Object) (Builds, error) {
	var in storedBuilds
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return Builds{}, eris.Wrap(ErrRecord, err.Error())
	}
	out := Builds{Version: o.Version, SinceMS: in.SinceMS, History: in.History}
	for _, s := range in.Services {
		service := ServiceBuilds{Service: s.Service, Streams: s.Streams}
		for _, text := range s.Builds {
			n, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return Builds{}, eris.Wrap(ErrRecord, err.Error())
			}
			service.Builds = append(service.Builds, endpoints.Build(n))
		}
		out.Services = append(out.Services, service)
	}
	return out, nil
}

// rolledBack reports whether the store has been rolled back since the record was written: what
// was added to it after that is missing.
func (b Builds) rolledBack() bool { return objectstore.History(b.Version) != b.History }

// service returns the entry of a service, or an empty one.
func (b Builds) service(name string) ServiceBuilds {
	i := slices.IndexFunc(b.Services, func(s ServiceBuilds) bool { return s.Service == name })
	if i < 0 {
		return ServiceBuilds{Service: name}
	}
	return b.Services[i]
}

// with returns the record with further builds of a service.
func (b Builds) with(s ServiceBuilds) Builds {
	merged := b.service(s.Service)
	merged.Streams = merged.Streams || s.Streams
	merged.Builds = slices.Concat(merged.Builds, s.Builds)
	slices.Sort(merged.Builds)
	merged.Builds = slices.Compact(merged.Builds)
	rest := slices.DeleteFunc(slices.Clone(b.Services), func(o ServiceBuilds) bool { return o.Service == s.Service })
	b.Services = append(rest, merged)
	slices.SortFunc(b.Services, func(x, y ServiceBuilds) int { return cmp.Compare(x.Service, y.Service) })
	return b
}

// without returns the record without the builds that a function selects.
func (b Builds) without(remove func(service string, build endpoints.Build) bool) Builds {
	var out []ServiceBuilds
	for _, s := range b.Services {
		s.Builds = slices.DeleteFunc(slices.Clone(s.Builds), func(build endpoints.Build) bool { return remove(s.Service, build) })
		if len(s.Builds) > 0 || s.Streams {
			out = append(out, s)
		}
	}
	b.Services = out
	return b
}

// has reports whether the record has a build of a service.
func (b Builds) has(service string, build endpoints.Build) bool {
	return slices.Contains(b.service(service).Builds, build)
}

// contains reports whether the record has a service's builds and its mark for streams.
func (b Builds) contains(s ServiceBuilds) bool {
	have := b.service(s.Service)
	missing := slices.ContainsFunc(s.Builds, func(build endpoints.Build) bool { return !slices.Contains(have.Builds, build) })
	return !missing && (have.Streams || !s.Streams)
}

// sameServices reports whether two records hold the same builds.
func (b Builds) sameServices(o Builds) bool {
	return slices.EqualFunc(b.Services, o.Services, func(x, y ServiceBuilds) bool {
		return x.Service == y.Service && x.Streams == y.Streams && slices.Equal(x.Builds, y.Builds)
	})
}

// all returns the builds of all services.
func (b Builds) all() []endpoints.Build {
	var out []endpoints.Build
	for _, s := range b.Services {
		out = append(out, s.Builds...)
	}
	return out
}
