package httpconn

import (
	"io"
	"net/http"
)

// SendOnce makes net/http send a request without a body at most once. It otherwise sends it again if
// its connection had been used before and ends without a response, which takes up the time limit of
// the call, and hides from the caller that the connection has ended.
func SendOnce(req *http.Request) {
	// net/http repeats requests with no body or http.NoBody, but none with a body of another type,
	// even if that is empty.
	req.Body = io.NopCloser(http.NoBody)
}
