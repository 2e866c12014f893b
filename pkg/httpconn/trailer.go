package httpconn

import (
	"errors"
	"io"
	"net/http"
)

// CheckTrailers makes the body of a response end with an error if the fields that follow it aren't well-formed.
func CheckTrailers(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
}

// trailedBody is a body that trailers may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.checkTrailers(err)
	}
	return n, err
}

// checkTrailers returns the error at the end of the body, or another one if the trailers aren't well-formed.
func (b *trailedBody) checkTrailers(end error) error {
	for name, values := range b.resp.Trailer {
		if err := checkName(name); err != nil {
			return err
		}
		for _, value := range values {
			if err := checkValue(value); err != nil {
				return err
			}
		}
	}
	return end
}
