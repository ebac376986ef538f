package edge

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"crocusfold.dev/core/memorybudget"
	"crocusfold.dev/entry/callerconns"
	"crocusfold.dev/entry/edgeconfig"
)

// Limits of the ports that are not for callers. Requests there have short heads and no bodies.
// Connections there share nothing with those of callers, so that these do not hold them up.
const (
	internalHeaderBytes = 4 << 10
	internalReadTimeout = 10 * time.Second
	// internalFDShare is the share of the descriptors, as one in so many, that each of these
	// ports may have for connections that are no connections of peers. maxInternalConns bounds
	// what they cost: with a head of internalHeaderBytes 0.1 MB each.
	internalFDShare  = 16
	maxInternalConns = 64
	minInternalConns = 8
	// peerFDShare is the share of the descriptors, as one in so many, for connections of peers.
	// An instance has at most one of each other: 369 in a fleet of 370, of the 512 that 4,100
	// descriptors give.
	peerFDShare = 8
)

// peerFrameShare is the share of the machine's memory, as one in so many, for frames of peers that
// have not arrived completely. Whole frames arrive within milliseconds, so that several large ones
// at once are not from peers.
const peerFrameShare = 10

// goMemoryShare is the share of the machine's memory, in percent, from which on the heap is
// collected more often than its growth demands. The rest is for the program's own pages and for
// what the collector can't return at once.
const goMemoryShare = 60

// limitMemory puts the limits of the machine in force.
func (e *Edge) limitMemory(cfg edgeconfig.Settings) {
	e.memory.SetLimits(cfg.Machine)
	if mb := cfg.Machine.MemoryMB; mb > 0 {
		e.endpoint.Inbound.SetLimit(mb << 20 / peerFrameShare)
		debug.SetMemoryLimit(int64(mb) << 20 * goMemoryShare / 100)
	}
}

// callerLimits returns the limits of the configuration, if one is known.
func (e *Edge) callerLimits() callerconns.Limits {
	intent := e.topics.Intent()
	if intent == nil || intent.Table == nil {
		return callerconns.Limits{}
	}
	l := intent.Table.Limits
	return callerconns.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// newInternalServer returns a server for a port that is not for callers.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: internalReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: internalHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// limitInternal bounds the connections of a port that is not for callers. Connections of peers
// count until they are upgraded.
func (e *Edge) limitInternal(server *http.Server, ln net.Listener) net.Listener {
	conns := maxInternalConns
	if fds := e.cfg.Machine.MaxFDs; fds > 0 {
		conns = max(minInternalConns, min(conns, fds/internalFDShare))
	}
	memory := &callerconns.Memory{Logger: e.memory.Logger, OnEnd: e.memory.OnEnd}
	memory.SetLimits(memorybudget.Limits{Connections: conns})
	l := &callerconns.Listener{Listener: ln, HeaderBytes: internalHeaderBytes, Memory: memory, MaxUpgraded: e.cfg.Machine.MaxFDs / peerFDShare}
	server.ConnState = l.Observe
	return l
}
