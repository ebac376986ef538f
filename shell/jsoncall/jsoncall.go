// Package jsoncall makes HTTP calls with JSON bodies.
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
}

// Error returns "status" and the status code.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Get requests a URL and decodes the response's body into out. If the status is not 200,
// the error wraps a *StatusError.
func Get(ctx context.Context, client *http.Client, url string, out any) error {
	return do(ctx, client, http.MethodGet, url, nil, out)
}

// Post sends in to a URL and decodes the response's body into out, unless out is nil. If
// the status is not 200, the error wraps a *StatusError.
func Post(ctx context.Context, client *http.Client, url string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding a call to %s: %w", url, err)
	}
	return do(ctx, client, http.MethodPost, url, raw, out)
}

func do(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("preparing a call to %s: %w", url, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("calling: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("calling %s: %w", url, &StatusError{resp.StatusCode})
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("reading the response of %s: %w", url, err)
	}
	return nil
}
