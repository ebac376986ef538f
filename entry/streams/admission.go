package streams

import (
	"context"
	"slices"
	"time"

	"crocusfold.dev/core/pool"
	"crocusfold.dev/core/streamorigin"
	"crocusfold.dev/core/versionadmission"
	"crocusfold.dev/entry/message"
	"crocusfold.dev/shell/clock"
)

const (
	// admitInterval is the pause between two checks whether an admission is due, and
	// admitRetryPause that after a failed call of the log.
	admitInterval   = 20 * time.Millisecond
	admitRetryPause = 200 * time.Millisecond
)

// Admitted returns the software versions of a service at which streams may begin. pending is
// true if others may follow soon.
func (s *Streams) Admitted(service string) (versions map[string]bool, pending bool) {
	snapshot := s.admitted.Load()
	if snapshot == nil {
		return map[string]bool{}, true
	}
	if versions = snapshot.allowed[service]; versions == nil {
		versions = map[string]bool{}
	}
	return versions, !snapshot.loaded || snapshot.pending[service]
}

// AdmissionNeeded has the versions of replicas looked at soon, since no replica of the
// admitted ones can take a request.
func (s *Streams) AdmissionNeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listChanged = true
}

// admissionSnapshot is what requests see of the admitted versions.
type admissionSnapshot struct {
	loaded  bool
	allowed map[string]map[string]bool
	pending map[string]bool
}

// publishAdmitted publishes the admitted versions. The caller holds the lock.
func (s *Streams) publishAdmitted(now time.Time) {
	s.admitted.Store(&admissionSnapshot{s.admissions.Loaded(), s.admissions.Allowed(now), s.admissions.Pending()})
}

// observeAdmissions takes in the replicas of a service. Those in closed data centres take no
// requests.
func (s *Streams) observeAdmissions(now time.Time, service string, all []pool.Replica, closed map[string]bool) {
	listed := make([]versionadmission.Listed, 0, len(all))
	for _, r := range all {
		listed = append(listed, versionadmission.Listed{Version: r.Software, Process: versionadmission.NewProcess(r.ID, r.Incarnation), Ready: !r.Draining && !closed[r.DataCentre]})
	}
	window := s.window()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.SetWindow(window)
	s.admissions.Observe(now, service, listed)
	s.publishAdmitted(now)
}

// InstancesChanged records that an instance started or ended.
func (s *Streams) InstancesChanged(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.InstancesChanged(now)
}

// loadAdmissions takes in the records of the log, which is in an era.
func (s *Streams) loadAdmissions(records []versionadmission.Record, complete bool, era uint64) {
	s.Topics.ObserveEra(era)
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.Load(now, records, complete)
	s.publishAdmitted(now)
}

// writeAdmissions writes the admissions that are due to the log, until ctx ends.
func (s *Streams) writeAdmissions(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := s.admitDue(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			_ = s.Logger.Log("msg", "Recording the software versions of streams failed or works again.", "fails", failing, "err", err)
		}
		pause := admitInterval
		if err != nil {
			pause = admitRetryPause
		}
		clock.Pause(ctx, pause)
	}
}

// admitDue writes the admissions that are due, after it has read those that were made before.
func (s *Streams) admitDue(ctx context.Context) error {
	in := s.Topics.Intent()
	if in == nil || len(in.Table.ResumableServices) == 0 {
		return nil
	}
	now := s.Now()
	rank, connected := s.Rank(now)
	if !connected {
		rank = 0
	}
	s.mu.Lock()
	loaded := s.admissions.Loaded()
	var due []versionadmission.Write
	if loaded {
		due = s.admissions.Due(now, rank)
	}
	s.mu.Unlock()
	if !loaded {
		return s.VersionLog.Read(ctx, now, 0)
	}
	for _, w := range due {
		if err := s.VersionLog.Write(ctx, w); err != nil {
			return err
		}
		now := s.Now()
		s.mu.Lock()
		admitted := s.admissions.Admitted(now, w.Version)
		s.admissions.Written(now, w)
		s.publishAdmitted(now)
		s.mu.Unlock()
		if !admitted && !w.Delete {
			_ = s.Logger.Log("msg", "Streams may begin at a software version.", "service", w.Version.Service, "version", w.Version.Name)
			s.OnAdmission()
		}
	}
	return nil
}

// onlyAdmitted returns the version of a service if it is the only one that was admitted when
// the log was read after now.
func (s *Streams) onlyAdmitted(ctx context.Context, now time.Time, service string, window, interval time.Duration) (streamorigin.Origin, Source) {
	only := func() (string, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.admissions.Only(s.Now(), service)
	}
	if _, ok := only(); !ok {
		return streamorigin.Origin{}, Unknown
	}
	if err := s.VersionLog.Read(ctx, now, interval); err != nil {
		return streamorigin.Origin{}, Unknown
	}
	version, ok := only()
	if !ok || s.restoredWithin(window) {
		return streamorigin.Origin{}, Unknown
	}
	return streamorigin.Origin{Service: service, Version: version}, OnlyVersion
}

// fillAdmissions adds the admitted versions to a message. The caller holds the lock.
func (s *Streams) fillAdmissions(now time.Time, m *message.Gossip) {
	m.AdmissionsLoaded = s.admissions.Loaded()
	for _, v := range s.admissions.Served(now) {
		m.AdmittedVersions = append(m.AdmittedVersions, message.ServedVersion{Service: v.Version.Service, Version: v.Version.Name, Age: max(0, now.Sub(v.At))})
	}
	slices.SortFunc(m.AdmittedVersions, func(a, b message.ServedVersion) int { return int(a.Age - b.Age) })
}

// mergeAdmissions merges the admitted versions that a peer knows, and reports whether others
// may be used now. The caller holds the lock.
func (s *Streams) mergeAdmissions(now time.Time, m message.Gossip) (changed bool) {
	var served []versionadmission.Served
	for _, v := range m.AdmittedVersions {
		version := versionadmission.Version{Service: v.Service, Name: v.Version}
		served = append(served, versionadmission.Served{Version: version, At: now.Add(-max(0, v.Age))})
		changed = changed || !s.admissions.Admitted(now, version)
	}
	s.admissions.Learn(now, served, m.AdmissionsLoaded)
	s.publishAdmitted(now)
	return changed
}
