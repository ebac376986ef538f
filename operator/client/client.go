// Package client calls the operators' API of the entry instances.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"crocusfold.dev/shell/settings"
)

// Timeouts of one call. The response to a confirmation comes only after the rollout.
const (
	readTimeout    = 3 * time.Second
	confirmTimeout = 15 * time.Second
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// ErrRefused means that an instance responded with a status below 500 other than 200.
// Another instance would refuse the call too, except for data that only one instance has
// (see GetAny).
var ErrRefused = errors.New("refused")

// Client calls the entry instances in turn until one responds. Its fields are read from a
// YAML file. It is not safe for concurrent use.
type Client struct {
	// Entries are the addresses at which the entry instances serve callers.
	Entries []netip.AddrPort `json:"entries" required:"true"`
	Token   string           `json:"operator-token" required:"true"`
	// Operator is the operator's name in the audit trail.
	Operator string `json:"operator" required:"true"`
}

// NewClient returns a client with the operator's settings, which it reads from a file.
func NewClient(file string) (*Client, error) {
	c := &Client{}
	if err := settings.Load(file, c); err != nil {
		return nil, fmt.Errorf("settings of the operator: %w", err)
	}
	return c, nil
}

// Get requests a path and decodes the response's body into out. The error wraps ErrRefused
// if an instance refused the call.
func (c *Client) Get(path string, out any) error { return c.call(http.MethodGet, path, nil, out) }

// Post sends in to a path and decodes the response's body into out. The error wraps
// ErrRefused if an instance refused the call.
func (c *Client) Post(path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding the request: %w", err)
	}
	return c.call(http.MethodPost, path, raw, out)
}

// call calls the instances in turn until one responds with a status below 500. A change
// has an id, so sending it again through another instance never applies it twice.
func (c *Client) call(method, path string, body []byte, out any) error {
	var errs []error
	for range c.Entries {
		err := c.callInstance(c.Entries[0], method, path, body, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		errs = append(errs, err)
		// From now on the instance that failed is called last.
		c.Entries = append(c.Entries[1:], c.Entries[0])
	}
	return fmt.Errorf("no entry instance responded: %w", errors.Join(errs...))
}

// GetAny requests a path from the instances in turn until one responds with status 200. It
// is for data that only one instance has, so a refusal doesn't end it.
func (c *Client) GetAny(path string, out any) error {
	var errs []error
	for _, address := range c.Entries {
		err := c.callInstance(address, http.MethodGet, path, nil, out)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return fmt.Errorf("no entry instance has it: %w", errors.Join(errs...))
}

func (c *Client) callInstance(address netip.AddrPort, method, path string, body []byte, out any) error {
	timeout := readTimeout
	if method == http.MethodPost {
		timeout = confirmTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("preparing the call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("calling %s: %w", address, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("reading the response of %s: %w", address, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("calling %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w by %s: status %d: %s", ErrRefused, address, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("reading the response of %s: %w", address, err)
	}
	return nil
}
