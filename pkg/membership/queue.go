package membership

import "slices"

// queuedNote is a note with the number of times that it is still to be sent.
type queuedNote struct {
	note      Note
	sendsLeft int
}

// noteQueue holds the notes to send. Those sent least often go first.
type noteQueue struct {
	notes []queuedNote
}

// add queues a note to be sent a number of times, and drops an older one about
// the same member.
func (q *noteQueue) add(n Note, sends int) {
	q.notes = slices.DeleteFunc(q.notes, func(e queuedNote) bool { return e.note.Member.ID == n.Member.ID })
	q.notes = append(q.notes, queuedNote{note: n, sendsLeft: sends})
}

// take returns up to limit notes and counts each as sent once.
func (q *noteQueue) take(limit int) []Note {
	slices.SortStableFunc(q.notes, func(a, b queuedNote) int { return b.sendsLeft - a.sendsLeft })
	n := min(limit, len(q.notes))
	out := make([]Note, n)
	for i := range n {
		out[i] = q.notes[i].note
		q.notes[i].sendsLeft--
	}
	q.notes = slices.DeleteFunc(q.notes, func(e queuedNote) bool { return e.sendsLeft <= 0 })
	return out
}
