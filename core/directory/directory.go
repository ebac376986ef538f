// Package directory tracks which stores hold which parts of prompts, from the stores'
// events and listings, and decides for each part whether it is fetched from a store,
// saved to one, or neither.
package directory

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocusfold.dev/core/pool"
)

// blockTokens is the unit in which stores allocate space, in tokens.
const blockTokens = 16

// saveTimeout is how long a reserved save counts as pending. A save that no event or
// listing has reported by then is considered lost.
const saveTimeout = 3 * time.Second

// writeStallTimeout is how long the write of a part may make no progress before it
// counts as stalled.
const writeStallTimeout = 3500 * time.Millisecond

// maxFillRatio is the share of a store's capacity up to which parts are saved to it.
const maxFillRatio = 0.985

// Part identifies one part of a prompt. Its salt separates the context of different
// model versions and isolated accounts.
type Part struct {
	Salt, ID string
}

// Salt returns the salt of a model's weight version. The account must be empty unless
// it is isolated.
func Salt(model string, version int, account string) string {
	return model + "/" + strconv.Itoa(version) + "/" + account
}

// ParseSalt returns the model and version of a salt, or false if the salt is
// malformed. The model must not contain a slash.
func ParseSalt(salt string) (model string, version int, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 3 {
		return "", 0, false
	}
	version, err := strconv.Atoi(fields[1])
	return fields[0], version, err == nil
}

// Event is one change of a store's contents.
type Event struct {
	// Number is the event's sequence number; a jump by more than one is a gap.
	Number uint64
	Part   Part
	Tokens int
	// Removed is true if the store no longer holds the part.
	Removed bool
}

// Listing is the complete contents of a store.
type Listing struct {
	Epoch uint64
	// Last is the number of the newest event that the listing includes.
	Last uint64
	// Held maps the complete parts to their sizes in tokens.
	Held map[Part]int
	// Partial has the parts that are being written or whose write was aborted.
	Partial map[Part]Partial
}

// Partial is the state of a partially written part, in tokens.
type Partial struct {
	Complete, Reserved int
}

// StoreConfig is the configuration of a store.
type StoreConfig struct {
	// Capacity is in tokens.
	Capacity int
	// TransferDelay is the fixed delay of a transfer, TransferPerToken the additional
	// time for each token.
	TransferDelay, TransferPerToken time.Duration
	DataCentre                      string
}

// storeState is the known state of one store.
type storeState struct {
	StoreConfig
	epoch uint64
	// lastEvent is the number of the newest event that the state includes.
	lastEvent uint64
	// listed is true once a listing was applied in this epoch.
	listed bool
	// synced is true from a listing until a gap in the events.
	synced   bool
	held     map[Part]int
	reserved reservations
	// used is the space of the complete parts in tokens.
	used    int
	fetches throttle
	// meanDelay is the mean time to the first response chunk of requests that fetched
	// from this store.
	meanDelay   time.Duration
	meanUpdated time.Time
	// journal has the latest changes for the instances that follow this one.
	journal journal
}

// pendingSave is a reserved save that the store has not reported yet.
type pendingSave struct {
	tokens  int
	expires time.Time
	// replica is the replica that prefills the part.
	replica string
}

// partialWrite is a partially written part.
type partialWrite struct {
	Partial
	// lastProgress is the time of the first listing with the present progress,
	// lastListed the time of the latest listing.
	lastProgress, lastListed time.Time
}

// Directory tracks the contents of all stores. The zero value has no stores. It is not
// safe for concurrent use.
type Directory struct {
	stores     map[string]*storeState
	sizeSample sizeSample
}

// Configure sets the stores by name. It drops the state of stores that are not in
// configs.
func (d *Directory) Configure(configs map[string]StoreConfig) {
	if d.stores == nil {
		d.stores = map[string]*storeState{}
	}
	for name := range d.stores {
		if _, ok := configs[name]; !ok {
			delete(d.stores, name)
		}
	}
	for name, cfg := range configs {
		if s, ok := d.stores[name]; ok {
			s.StoreConfig = cfg
			continue
		}
		d.stores[name] = &storeState{StoreConfig: cfg, held: map[Part]int{}}
	}
}

// Position returns the store's epoch and the number of the newest event that its state
// includes, or zeros if the store is unknown.
func (d *Directory) Position(store string) (epoch, last uint64) {
	if s, ok := d.stores[store]; ok {
		return s.epoch, s.lastEvent
	}
	return 0, 0
}

// Synced reports whether a listing was applied and no event since is known to be
// missing.
func (d *Directory) Synced(store string) bool {
	s, ok := d.stores[store]
	return ok && s.synced
}

// Apply applies events of a store up to the event number last. A new epoch means that
// the store has restarted empty. If lost is true, some events up to last are missing,
// and the store is not synced until the next listing.
func (d *Directory) Apply(store string, epoch, last uint64, lost bool, events []Event) {
	s, ok := d.stores[store]
	if !ok {
		return
	}
	if epoch != s.epoch {
		s.reset(epoch)
	}
	if lost {
		s.synced = false
	}
	for _, ev := range events {
		if s.listed && ev.Number > s.lastEvent+1 {
			s.synced = false
		}
		s.lastEvent = max(s.lastEvent, ev.Number)
		s.apply(ev)
	}
	s.lastEvent = max(s.lastEvent, last)
}

// Replace replaces the contents of a store by a listing that was taken at now. It
// ignores a listing of the same epoch that lacks events already applied.
func (d *Directory) Replace(now time.Time, store string, l Listing) {
	s, ok := d.stores[store]
	if !ok || l.Epoch == s.epoch && l.Last < s.lastEvent {
		return
	}
	if l.Epoch != s.epoch {
		s.reset(l.Epoch)
	}
	s.journalDiff(l.Held)
	s.lastEvent, s.listed, s.synced, s.held = l.Last, true, true, l.Held
	s.used = 0
	for _, tokens := range l.Held {
		s.used += roundToBlocks(tokens)
	}
	partial := map[Part]partialWrite{}
	for part, p := range l.Partial {
		old, ok := s.reserved.partial[part]
		if !ok || old.Complete != p.Complete {
			old.lastProgress = now
		}
		partial[part] = partialWrite{p, old.lastProgress, now}
	}
	s.reserved.replacePartial(partial)
	for part := range s.reserved.pending {
		if _, ok := l.Held[part]; ok {
			s.reserved.dropSave(part)
		}
	}
}

// StalledWrites returns the partially written parts of a store that made no progress
// between two listings at least writeStallTimeout apart. They occupy space until they
// are freed.
func (d *Directory) StalledWrites(store string) []Part {
	var out []Part
	if s, ok := d.stores[store]; ok {
		for part, p := range s.reserved.partial {
			if p.lastListed.Sub(p.lastProgress) >= writeStallTimeout {
				out = append(out, part)
			}
		}
	}
	return out
}

// HasPartial reports whether a store has partially written parts.
func (d *Directory) HasPartial(store string) bool {
	s, ok := d.stores[store]
	return ok && len(s.reserved.partial) > 0
}

// Forget drops the known state of a store, for use when the store can't be reached.
func (d *Directory) Forget(store string) {
	if s, ok := d.stores[store]; ok {
		s.reset(0)
	}
}

// journalDiff adds the changes from the present contents to held to the journal.
func (s *storeState) journalDiff(held map[Part]int) {
	for part := range s.held {
		if held[part] == 0 {
			s.journal.add(Event{Part: part, Removed: true})
		}
	}
	for part, tokens := range held {
		if s.held[part] != tokens {
			s.journal.add(Event{Part: part, Tokens: tokens})
		}
	}
}

// reset drops all state but the configuration, and starts a new generation of the
// journal.
func (s *storeState) reset(epoch uint64) {
	generation := s.journal.generation + 1
	*s = storeState{StoreConfig: s.StoreConfig, epoch: epoch, held: map[Part]int{}, journal: journal{generation: generation}}
}

func (s *storeState) apply(ev Event) {
	s.journal.add(ev)
	s.reserved.dropSave(ev.Part)
	s.reserved.dropPartial(ev.Part)
	if old, ok := s.held[ev.Part]; ok {
		s.used -= roundToBlocks(old)
		delete(s.held, ev.Part)
	}
	if !ev.Removed {
		s.held[ev.Part] = ev.Tokens
		s.used += roundToBlocks(ev.Tokens)
	}
}

// MarkFreed removes parts that are about to be freed from the state of a store, so
// that they are no longer fetched.
func (d *Directory) MarkFreed(store string, parts []Part) {
	if s, ok := d.stores[store]; ok {
		for _, p := range parts {
			s.apply(Event{Part: p, Removed: true})
		}
	}
}

// Transfer returns the transfer of a part of the given size from a store, or the zero
// value if the store is unknown.
func (d *Directory) Transfer(store string, tokens int) pool.Transfer {
	s, ok := d.stores[store]
	if !ok {
		return pool.Transfer{}
	}
	return pool.Transfer{DataCentre: s.DataCentre, Latency: s.TransferDelay, LinkTime: time.Duration(tokens) * s.TransferPerToken}
}

// Locate returns a store that holds at least the given number of tokens of a part. Of
// several stores it chooses one by rendezvous hashing. It returns false if there is
// none.
func (d *Directory) Locate(p Part, tokens int) (string, bool) {
	best, top := "", uint64(0)
	for name, s := range d.stores {
		if s.held[p] < tokens || s.held[p] == 0 {
			continue
		}
		if score := rendezvousScore(p, name); best == "" || score > top {
			best, top = name, score
		}
	}
	return best, best != ""
}

// SavingReplica returns the replica that prefills a part whose save is pending. It
// returns false if no save of the part is pending.
func (d *Directory) SavingReplica(now time.Time, p Part) (string, bool) {
	for _, s := range d.stores {
		if sv, ok := s.reserved.pending[p]; ok && now.Before(sv.expires) {
			return sv.replica, true
		}
	}
	return "", false
}

// Reserve chooses a store with room for a part that no store holds, and records a
// pending save there by the replica that prefills the part. It returns false if a save
// of the part is already pending or no store can take it.
func (d *Directory) Reserve(now time.Time, p Part, tokens int, replica string) (string, bool) {
	if _, ok := d.SavingReplica(now, p); ok {
		return "", false
	}
	best, top, bestInTier := "", 0.0, false
	for name, s := range d.stores {
		free := s.freeTokens(now)
		if !s.listed || free < roundToBlocks(tokens) || s.fetches.share(now) < minSaveShare {
			continue
		}
		// Rendezvous hashing weighted by capacity: instances that save the same part at
		// the same time choose the same store, and the stores of one tier fill evenly.
		// A store of the part's own tier is preferred to all others.
		v := float64(s.Capacity) / -math.Log((float64(rendezvousScore(p, name)>>11)+0.5)/(1<<53))
		inTier := d.inTier(name, tokens)
		if best == "" || inTier && !bestInTier || inTier == bestInTier && v > top {
			best, top, bestInTier = name, v, inTier
		}
	}
	if best == "" {
		return "", false
	}
	d.stores[best].reserved.add(p, pendingSave{tokens, now.Add(saveTimeout), replica})
	return best, true
}

// freeTokens returns the space available for saves in tokens. It drops pending saves
// that have expired.
func (s *storeState) freeTokens(now time.Time) int {
	s.reserved.expire(now)
	return int(float64(s.Capacity)*maxFillRatio) - s.used - s.reserved.saves - s.reserved.writes
}

// Stale returns the complete parts of a store whose salt is no longer wanted.
func (d *Directory) Stale(store string, wanted func(salt string) bool) []Part {
	var out []Part
	if s, ok := d.stores[store]; ok {
		for p := range s.held {
			if !wanted(p.Salt) {
				out = append(out, p)
			}
		}
	}
	return out
}

// Usage returns the used space and the capacity of a store in tokens.
func (d *Directory) Usage(store string) (used, capacity int) {
	if s, ok := d.stores[store]; ok {
		return s.used + s.reserved.writes, s.Capacity
	}
	return 0, 0
}

// roundToBlocks rounds a size in tokens up to whole blocks.
func roundToBlocks(tokens int) int {
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

// rendezvousScore hashes a part and a store's name for rendezvous hashing.
func rendezvousScore(p Part, store string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{p.Salt, "\x00", p.ID, "\x00", store} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}
