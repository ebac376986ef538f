// Command crocus-call makes one HTTP request and prints the body of the response.
// scripts/try uses it.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

const usage = `Makes one HTTP request and prints the body of the response. With --data it
is a POST. The exit code is 1 if there is no response or, with --fail, if its
status is not 200.

  crocus-call --header 'X-Request-Id: 1' --data '{}' http://127.0.0.1:19100/v1/chat/completions`

// callTimeout bounds the request, including the reading of the response.
const callTimeout = 20 * time.Second

type options struct {
	Header []string `long:"header" short:"H" value-name:"NAME: VALUE" description:"a header; may be given more than once"`
	Data   string   `long:"data" short:"d" value-name:"TEXT" description:"the body"`
	Fail   bool     `long:"fail" short:"f" description:"print nothing and fail if the status is not 200"`
	Args   struct {
		URL string `positional-arg-name:"URL"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = usage
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := call(opts); err != nil {
		fmt.Fprintln(os.Stderr, "crocus-call:", err)
		os.Exit(1)
	}
}

func call(opts options) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method := http.MethodGet
	if opts.Data != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, opts.Args.URL, strings.NewReader(opts.Data))
	if err != nil {
		return fmt.Errorf("preparing the request: %w", err)
	}
	for _, h := range opts.Header {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("sending the request: %w", err)
	}
	defer resp.Body.Close()
	if opts.Fail && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("requesting %s: got status %d, want 200", opts.Args.URL, resp.StatusCode)
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	return nil
}
