package overload

import "github.com/rotisserie/eris"

// ErrReport is the error of a report with a missing or impossible value.
var ErrReport = eris.New("overload: invalid report")
