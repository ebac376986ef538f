package command

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// metricsTimeout bounds the time to read the metrics of one instance.
const metricsTimeout = 3 * time.Second

// instanceState is the state of one instance according to its metrics.
type instanceState struct {
	proofAge, inFlight, requests, served float64
	isLeader                             bool
	// topOther is the most frequent outcome other than ok, topOtherCount the number of
	// requests that had it.
	topOther      string
	topOtherCount float64
}

// showMetrics prints one line for each address given by --metrics. If an instance does not
// respond, it prints the others and then returns an error.
func (s *statusCommand) showMetrics() error {
	s.tool.printf("%-22s %8s %5s %9s %9s %7s  %s\n", "METRICS", "PROOF", "DUTY", "IN FLIGHT", "REQUESTS", "SERVED", "MOST OTHERS")
	var faults []error
	for _, text := range s.Metrics {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return usageError{fmt.Errorf("--metrics %q: allowed is IP:port", text)}
		}
		st, err := readState(address)
		if err != nil {
			s.tool.printf("%-22s does not answer\n", address)
			faults = append(faults, err)
			continue
		}
		s.printState(address, st)
	}
	return errors.Join(faults...)
}

func (s *statusCommand) printState(address netip.AddrPort, st instanceState) {
	leader, others, served := "", "", "-"
	if st.isLeader {
		leader = "held"
	}
	if st.requests > 0 {
		served = fmt.Sprintf("%.1f%%", 100*st.served/st.requests)
	}
	if st.topOther != "" {
		others = fmt.Sprintf("%s (%.0f)", st.topOther, st.topOtherCount)
	}
	s.tool.printf("%-22s %7.1fs %5s %9.0f %9.0f %7s  %s\n", address, st.proofAge, leader, st.inFlight, st.requests, served, others)
}

func readState(address netip.AddrPort) (instanceState, error) {
	client := http.Client{Timeout: metricsTimeout}
	resp, err := client.Get("http://" + address.String() + "/metrics")
	if err != nil {
		return instanceState{}, fmt.Errorf("reading the metrics of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return instanceState{}, fmt.Errorf("reading the metrics of %s: status %d", address, resp.StatusCode)
	}
	st, err := parseState(resp.Body)
	if err != nil {
		return st, fmt.Errorf("reading the metrics of %s: %w", address, err)
	}
	return st, nil
}

// parseState reads metrics in the Prometheus text format.
func parseState(r io.Reader) (instanceState, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return instanceState{}, fmt.Errorf("parsing: %w", err)
	}
	st := instanceState{
		proofAge: gauge(families["crocusfold_proof_age_seconds"]), inFlight: gauge(families["crocusfold_in_flight"]),
		isLeader: gauge(families["crocusfold_duty_held"]) > 0,
	}
	others := map[string]float64{}
	for _, m := range families["crocusfold_requests"].GetMetric() {
		n := m.GetCounter().GetValue()
		st.requests += n
		if outcome := label(m, "outcome"); outcome == "ok" {
			st.served += n
		} else {
			others[outcome] += n
		}
	}
	names := make([]string, 0, len(others))
	for name := range others {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if others[name] > st.topOtherCount {
			st.topOther, st.topOtherCount = name, others[name]
		}
	}
	return st, nil
}

// gauge returns the value of a gauge without labels, or 0 if it is missing.
func gauge(f *dto.MetricFamily) float64 {
	if len(f.GetMetric()) == 0 {
		return 0
	}
	return f.GetMetric()[0].GetGauge().GetValue()
}

// label returns the value of a label, or an empty string if it is missing.
func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
