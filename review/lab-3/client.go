package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// response is what a client got.
type response struct {
	status int
	header http.Header
	body   string
	// chunked is true if the body came in chunks, and complete false if the response broke off.
	chunked, complete bool
}

// dial opens a connection.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return conn, nil
}

// receive reads one response from a connection.
func receive(conn net.Conn, limit time.Duration) (response, error) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{}, fmt.Errorf("reading the response: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), len(resp.TransferEncoding) > 0, err == nil}, nil
}

// roundTrip sends raw bytes on a new connection and reads one response.
func roundTrip(address, raw string, limit time.Duration) (response, error) {
	conn, err := dial(address)
	if err != nil {
		return response{}, err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err != nil {
		return response{}, fmt.Errorf("writing the request: %w", err)
	}
	return receive(conn, limit)
}

// text returns what the record says of a response.
func text(resp response, err error) string {
	if err != nil {
		return "no answer: " + err.Error()
	}
	seal := resp.header.Get("Crocusfold-Server-Seal")
	if seal == "" {
		seal = "none"
	}
	return fmt.Sprintf("%d, seal %s, complete %t, body %s", resp.status, seal, resp.complete, quote(resp.body))
}
