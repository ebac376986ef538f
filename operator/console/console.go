// Package console is the operators' connection to the entry instances.
package console

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
	readLimit    = 3 * time.Second
	confirmLimit = 15 * time.Second
)

// maxAnswer bounds one answer, in bytes.
const maxAnswer = 64 << 20

// ErrRefused means that an instance answered with a refusal, which another
// instance would give too.
var ErrRefused = errors.New("refused")

// Console calls the first instance that answers. It is read from a YAML file.
type Console struct {
	// Entries are the callers' addresses of the entry instances.
	Entries []netip.AddrPort `json:"entries" required:"true"`
	Token   string           `json:"operator-token" required:"true"`
	// Operator is the name that the audit trail shows.
	Operator string `json:"operator" required:"true"`
}

// NewConsole reads the operator's settings.
func NewConsole(file string) (*Console, error) {
	c := &Console{}
	if err := settings.Load(file, c); err != nil {
		return nil, fmt.Errorf("settings of the operator: %w", err)
	}
	return c, nil
}

// Get reads a path into out.
func (c *Console) Get(path string, out any) error { return c.call(http.MethodGet, path, nil, out) }

// Post sends a body to a path and reads the answer into out.
func (c *Console) Post(path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding the request: %w", err)
	}
	return c.call(http.MethodPost, path, raw, out)
}

// call tries the instances in turn. Changes carry an id, so sending one again
// through another instance never applies it twice.
func (c *Console) call(method, path string, body []byte, out any) error {
	var errs []error
	for range c.Entries {
		err := c.callOne(c.Entries[0], method, path, body, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		errs = append(errs, err)
		// The instance that failed is asked last from now on.
		c.Entries = append(c.Entries[1:], c.Entries[0])
	}
	return fmt.Errorf("no entry instance answered: %w", errors.Join(errs...))
}

// Each reads a path from every instance until one has it.
func (c *Console) Each(path string, out any) error {
	var errs []error
	for _, e := range c.Entries {
		err := c.callOne(e, http.MethodGet, path, nil, out)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return fmt.Errorf("no entry instance has it: %w", errors.Join(errs...))
}

func (c *Console) callOne(to netip.AddrPort, method, path string, body []byte, out any) error {
	limit := readLimit
	if method == http.MethodPost {
		limit = confirmLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("preparing the call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("calling %s: %w", to, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", to, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("calling %s: status %d: %s", to, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w by %s: status %d: %s", ErrRefused, to, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("reading the answer of %s: %w", to, err)
	}
	return nil
}
