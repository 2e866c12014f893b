package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/standin"
	"github.com/medlarsill/medlarsill/pkg/standin/platform"
)

// PlatformClient injects faults into the simulated platform and reads its records.
type PlatformClient struct {
	base string
	http *http.Client
}

// NewPlatformClient returns a client of the simulated platform at a base URL.
func NewPlatformClient(base string, client *http.Client) *PlatformClient {
	return &PlatformClient{base: base, http: client}
}

// Inject injects a fault; path is relative to /faults/.
func (p *PlatformClient) Inject(ctx context.Context, path string, f platform.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "load: encode fault")
	}
	return p.call(ctx, http.MethodPost, "/faults/"+path, body, nil)
}

// Accounting reads the costs of the platform and the work of its engines.
func (p *PlatformClient) Accounting(ctx context.Context) (standin.Accounting, error) {
	var out standin.Accounting
	err := p.call(ctx, http.MethodGet, "/accounting", nil, &out)
	return out, err
}

// RunRecords reads the records of the work that ran.
func (p *PlatformClient) RunRecords(ctx context.Context) (RunRecords, error) {
	var out RunRecords
	if err := p.call(ctx, http.MethodGet, "/runs", nil, &out.Runs); err != nil {
		return out, err
	}
	err := p.call(ctx, http.MethodGet, "/attempts", nil, &out.DataCentres)
	return out, err
}

// SwitchPreset activates a preset by a conditional update of the configuration.
func (p *PlatformClient) SwitchPreset(ctx context.Context, preset string) error {
	store := httpstore.NewClient(p.base, p.http)
	o, err := store.Get(ctx, config.Key)
	if err != nil {
		return eris.Wrap(err, "load: read configuration")
	}
	var env config.Envelope
	if err := json.Unmarshal(o.Value, &env); err != nil {
		return eris.Wrap(err, "load: decode configuration")
	}
	env.Revision++
	env.WriteID, env.Preset = uuid.NewString(), preset
	value, err := json.Marshal(env)
	if err != nil {
		return eris.Wrap(err, "load: encode configuration")
	}
	_, err = store.Update(ctx, config.Key, value, o.Version)
	return eris.Wrap(err, "load: switch preset")
}

func (p *PlatformClient) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, p.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "load: create platform request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "load: send platform request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("load: platform returned status %d for %s", resp.StatusCode, path)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "load: decode platform response")
}
