// Package client is the operators' connection to the entry instances.
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

// Limits of one call; a confirmation waits for its rollout.
const (
	readTimeout    = 3 * time.Second
	confirmTimeout = 15 * time.Second
)

// maxResponseBytes bounds one answer, in bytes.
const maxResponseBytes = 64 << 20

// ErrRefused means that an instance answered with a refusal, which another
// instance would give too.
var ErrRefused = errors.New("refused")

// Client calls the first instance that answers. It is read from a YAML file.
type Client struct {
	// Entries are the callers' addresses of the entry instances.
	Entries []netip.AddrPort `json:"entries" required:"true"`
	Token   string           `json:"operator-token" required:"true"`
	// Operator is the name that the audit trail shows.
	Operator string `json:"operator" required:"true"`
}

// NewClient reads the operator's settings.
func NewClient(file string) (*Client, error) {
	c := &Client{}
	if err := settings.Load(file, c); err != nil {
		return nil, fmt.Errorf("settings of the operator: %w", err)
	}
	return c, nil
}

// Get reads a path into out.
func (c *Client) Get(path string, out any) error { return c.call(http.MethodGet, path, nil, out) }

// Post sends a body to a path and reads the answer into out.
func (c *Client) Post(path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding the request: %w", err)
	}
	return c.call(http.MethodPost, path, raw, out)
}

// call tries the instances in turn. Changes carry an id, so sending one again
// through another instance never applies it twice.
func (c *Client) call(method, path string, body []byte, out any) error {
	var errs []error
	for range c.Entries {
		err := c.callInstance(c.Entries[0], method, path, body, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		errs = append(errs, err)
		// The instance that failed is asked last from now on.
		c.Entries = append(c.Entries[1:], c.Entries[0])
	}
	return fmt.Errorf("no entry instance answered: %w", errors.Join(errs...))
}

// GetAny reads a path from every instance until one has it.
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
	limit := readTimeout
	if method == http.MethodPost {
		limit = confirmTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
		return fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("calling %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w by %s: status %d: %s", ErrRefused, address, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	return nil
}
