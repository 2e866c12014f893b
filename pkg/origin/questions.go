package origin

import (
	"slices"
	"sync"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// questions holds the streams that this instance asks its peers for.
type questions struct {
	mu    sync.Mutex
	byKey map[key][]*question
}

// question is one stream that peers are asked for.
type question struct {
	key key
	// waiting holds the peers that haven't answered.
	waiting []string
	// uncertain is true once a peer has answered that the stream's build isn't known.
	uncertain bool
	// result gets the build, or what is known once all peers have answered.
	result chan endpoints.Build
}

// open begins a question to peers.
func (q *questions) open(k key, peers []string) *question {
	asked := &question{key: k, waiting: slices.Clone(peers), result: make(chan endpoints.Build, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byKey == nil {
		q.byKey = make(map[key][]*question)
	}
	q.byKey[k] = append(q.byKey[k], asked)
	return asked
}

// close ends a question.
func (q *questions) close(asked *question) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := slices.DeleteFunc(q.byKey[asked.key], func(other *question) bool { return other == asked })
	if len(left) == 0 {
		delete(q.byKey, asked.key)
		return
	}
	q.byKey[asked.key] = left
}

// waitingFor returns the peers that haven't answered a question.
func (q *questions) waitingFor(asked *question) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(asked.waiting)
}

// answer records a peer's answer; a build of 0 means that it doesn't know the stream.
func (q *questions) answer(peer string, k key, b endpoints.Build) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, asked := range q.byKey[k] {
		asked.waiting = slices.DeleteFunc(asked.waiting, func(other string) bool { return other == peer })
		asked.uncertain = asked.uncertain || b == endpoints.UncertainBuild
		switch {
		case b != 0 && b != endpoints.UncertainBuild:
			asked.finish(b)
		case len(asked.waiting) == 0:
			asked.finish(asked.known())
		}
	}
}

// known returns what is known without the build: endpoints.UncertainBuild if a peer knows the stream,
// or 0.
func (q *questions) known(asked *question) endpoints.Build {
	q.mu.Lock()
	defer q.mu.Unlock()
	return asked.known()
}

func (q *question) known() endpoints.Build {
	if q.uncertain {
		return endpoints.UncertainBuild
	}
	return 0
}

// finish sets the result unless there is one.
func (q *question) finish(b endpoints.Build) {
	select {
	case q.result <- b:
	default:
	}
}
