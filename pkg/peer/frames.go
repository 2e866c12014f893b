package peer

import "math"

// maxNumberBytes is the size of the largest number in a gob stream.
const maxNumberBytes = 8

// number is an unsigned number of a gob stream, of which a part was received. A number up to 127 is
// one byte. A larger one follows a byte with its negated size.
type number struct {
	value uint64
	// left is the number of bytes that are missing.
	left int
}

// add adds a byte, and reports whether the number is complete. An invalid one is math.MaxUint64.
func (n *number) add(b byte) bool {
	if n.left > 0 {
		n.value = n.value<<8 | uint64(b)
		n.left--
		return n.left == 0
	}
	if b < 1<<7 {
		n.value = uint64(b)
		return true
	}
	n.value, n.left = 0, -int(int8(b))
	if n.left > maxNumberBytes {
		n.value, n.left = math.MaxUint64, 0
		return true
	}
	return false
}

// frames follows the messages of a gob stream: each has its length, the id of its type, and a value
// or, if the id is negative, the definition of a type.
type frames struct {
	number number
	// size is the length of the message that is being received, 0 if its length is awaited, and left
	// how much of it is missing.
	size, left uint64
	// typed is true once the id of the message's type is known, and defines whether it is negative.
	typed, defines bool
	// values and definitions count the complete messages with a value and all definitions.
	values, definitions int
}

// follow follows the next part of the stream.
func (f *frames) follow(b []byte) {
	for len(b) > 0 {
		switch {
		case f.size == 0:
			b = f.followLength(b)
		case !f.typed:
			b = f.followType(b)
		default:
			n := min(uint64(len(b)), f.left)
			b, f.left = b[n:], f.left-n
		}
		if f.size > 0 && f.left == 0 {
			f.endMessage()
		}
	}
}

func (f *frames) followLength(b []byte) []byte {
	if f.number.add(b[0]) {
		f.size, f.left = f.number.value, f.number.value
	}
	return b[1:]
}

// followType follows the id of a type, whose lowest bit is its sign.
func (f *frames) followType(b []byte) []byte {
	f.left--
	if f.number.add(b[0]) {
		f.typed, f.defines = true, f.number.value&1 == 1
		if f.defines {
			f.definitions++
		}
	}
	return b[1:]
}

func (f *frames) endMessage() {
	if f.typed && !f.defines {
		f.values++
	}
	f.number, f.size, f.typed, f.defines = number{}, 0, false, false
}
