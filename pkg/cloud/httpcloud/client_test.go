package httpcloud

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// Guards against calls without content that send the body "null".
func TestClient_SendsBodyOnlyWithContent(t *testing.T) {
	g := NewWithT(t)
	type sent struct{ method, contentType, body string }
	var got []sent
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = append(got, sent{r.Method, r.Header.Get("Content-Type"), string(body)})
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "[]")
		}
		if r.Method == http.MethodPost {
			_, _ = io.WriteString(w, "{}")
		}
	}))
	defer server.Close()
	c := NewClient(server.URL, server.Client())
	_, err := c.List(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Stop(context.Background(), "i-1")).To(Succeed())
	_, err = c.Start(context.Background(), cloud.StartRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got[:2]).To(Equal([]sent{{method: http.MethodGet}, {method: http.MethodDelete}}))
	g.Expect(got[2].contentType).To(Equal("application/json"))
	g.Expect(got[2].body).To(HavePrefix("{"))
}
