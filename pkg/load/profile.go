// Package load generates seeded open-loop traffic of an organisation, sends it
// to the entry servers, checks every response and summarises the measurements.
package load

import (
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	// KindChat is a chat turn with a growing history and a shared system message.
	KindChat Kind = "chat"
	// KindSummary asks for a summary of a long history, with a few follow-ups.
	KindSummary Kind = "summary"
	// KindTag is a short lookup that is not urgent and never streamed.
	KindTag Kind = "tag"
	// KindCheck is an idempotent call to a plain service.
	KindCheck Kind = "check"
	// KindHold is a non-idempotent call to a plain service.
	KindHold Kind = "hold"
)

// IsModel reports whether calls of the kind go to a model service.
func (k Kind) IsModel() bool { return k == KindChat || k == KindSummary || k == KindTag }

// Source is the traffic of one kind from one workspace.
type Source struct {
	Kind Kind
	// Share is the weight of the source in the call rate, relative to the other sources.
	Share     float64
	Workspace string
	// Model is set for model calls, Service and Path for calls to plain services.
	Model   string
	Service string
	Path    string
	// Turns is the maximum number of turns of a conversation.
	Turns int
	// MinWords and MaxWords limit the length of the first user message.
	MinWords, MaxWords int
}

// Profile is the traffic of an organisation.
type Profile struct {
	Name string
	// KeyPrefix is the start of the API keys, which are PREFIX-WORKSPACE-key.
	KeyPrefix string
	Sources   []Source
	// GiantWorkspace is the workspace whose rate rises in ScenarioGiant.
	GiantWorkspace string
}

// Lengths of the first user message in words.
const (
	chatMinWords    = 20
	chatMaxWords    = 60
	summaryMinWords = 800
	summaryMaxWords = 2400
	tagMinWords     = 8
	tagMaxWords     = 16
)

func chatSource(share float64, workspace, model string) Source {
	return Source{Kind: KindChat, Share: share, Workspace: workspace, Model: model, Turns: 8, MinWords: chatMinWords, MaxWords: chatMaxWords}
}

func summarySource(share float64, workspace, model string) Source {
	return Source{Kind: KindSummary, Share: share, Workspace: workspace, Model: model, Turns: 3, MinWords: summaryMinWords, MaxWords: summaryMaxWords}
}

func tagSource(share float64, workspace, model string) Source {
	return Source{Kind: KindTag, Share: share, Workspace: workspace, Model: model, Turns: 1, MinWords: tagMinWords, MaxWords: tagMaxWords}
}

func plainSource(kind Kind, share float64, workspace, service, path string) Source {
	return Source{Kind: kind, Share: share, Workspace: workspace, Service: service, Path: path}
}

// Szallashallo returns the traffic of Szállásháló Egyesület.
func Szallashallo() Profile {
	return Profile{Name: "szallashallo", KeyPrefix: "sz", GiantWorkspace: "travellers", Sources: []Source{
		chatSource(25, "travellers", "assistant"),
		chatSource(12, "hostel-owners", "assistant"),
		summarySource(14, "hostel-owners", "assistant"),
		chatSource(7, "duna-hostel", "assistant"),
		chatSource(6, "tisza-hostel", "assistant"),
		chatSource(6, "mecsek-hostel", "assistant"),
		plainSource(KindCheck, 20, "travellers", "beds", "/availability"),
		plainSource(KindHold, 8, "travellers", "beds", "/holds"),
		plainSource(KindHold, 2, "hostel-owners", "beds", "/holds"),
	}}
}

// Haba returns the traffic of Haba Servis Dandang Bersatu.
func Haba() Profile {
	return Profile{Name: "haba", KeyPrefix: "haba", GiantWorkspace: "dispatch", Sources: []Source{
		summarySource(26, "dispatch", "fault-summary"),
		summarySource(8, "building-managers", "fault-summary"),
		chatSource(16, "hotline", "clinic-chat"),
		chatSource(14, "clinic", "clinic-chat"),
		tagSource(20, "tags", "tag-lookup"),
		plainSource(KindHold, 6, "dispatch", "reminders", "/reminders"),
		plainSource(KindHold, 4, "hotline", "reminders", "/reminders"),
		plainSource(KindHold, 3, "building-managers", "reminders", "/reminders"),
		plainSource(KindHold, 3, "clinic", "reminders", "/bookings"),
	}}
}

// ProfileFor returns the profile whose workspaces and API keys a configuration has.
func ProfileFor(doc *config.Document) (Profile, error) {
	for _, p := range []Profile{Szallashallo(), Haba()} {
		if p.matches(doc) {
			return p, nil
		}
	}
	return Profile{}, eris.New("load: no traffic profile matches the configuration")
}

// matches reports whether the configuration has all workspaces of the profile
// with their API keys.
func (p *Profile) matches(doc *config.Document) bool {
	for _, s := range p.Sources {
		w, ok := doc.WorkspaceByKey(p.apiKey(s.Workspace))
		if !ok || w.Name != s.Workspace {
			return false
		}
	}
	return true
}

func (p *Profile) apiKey(workspace string) string { return p.KeyPrefix + "-" + workspace + "-key" }
