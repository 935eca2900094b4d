package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// List returns the fleet list of the deployment's VMs and endpoints.
func (r *Rig) List() fleet.List {
	var list fleet.List
	for _, vm := range r.VMs {
		list.VMs = append(list.VMs, vm.Fleet)
	}
	for _, e := range r.Endpoints {
		list.Endpoints = append(list.Endpoints, e.Fleet)
	}
	return list
}

// PublishFleetList publishes the current fleet list to the platform.
func (r *Rig) PublishFleetList() error {
	list := r.List()
	return r.Put("/v1/vms", list)
}

// Publish publishes a document and returns its revision.
func (r *Rig) Publish(key string, value []byte) (uint64, error) {
	answer, err := r.putTo(r.Platform.ListenAddrs.Addr, "/v1/values/"+key, value)
	if err != nil {
		return 0, err
	}
	var published publishResponse
	err = json.Unmarshal(answer, &published)
	return published.Revision, err
}

// publishResponse is the platform's response to a write.
type publishResponse struct {
	Revision uint64 `json:"revision"`
}

// Put encodes a value as JSON and puts it to a path of the platform.
func (r *Rig) Put(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return r.put(path, data)
}

func (r *Rig) put(path string, data []byte) error {
	return r.PutTo(r.Platform.ListenAddrs.Addr, path, data)
}

// PutTo puts a body to a path of a stand-in process.
func (r *Rig) PutTo(addr, path string, data []byte) error {
	_, err := r.putTo(addr, path, data)
	return err
}

func (r *Rig) putTo(addr, path string, data []byte) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("put %s: status %d: %s", path, resp.StatusCode, text)
	}
	return text, nil
}

// Get returns the status and the body of a GET request to a process.
func (r *Rig) Get(addr, path string) (int, []byte, error) {
	resp, err := r.http.Get("http://" + addr + path)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// GetJSON decodes the JSON body of a GET request to a process. Any status other
// than 200 is an error.
func GetJSON[T any](r *Rig, addr, path string) (T, error) {
	var out T
	status, body, err := r.Get(addr, path)
	if err != nil {
		return out, err
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("get %s: status %d: %s", path, status, body)
	}
	return out, json.Unmarshal(body, &out)
}
