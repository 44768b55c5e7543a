package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Allowed ranges of settings.
const (
	minHeartbeat  = 100 * time.Millisecond
	maxHeartbeat  = 10 * time.Second
	minDrain      = 100 * time.Millisecond
	maxDrain      = 10 * time.Minute
	minCall       = 10 * time.Millisecond
	maxCall       = time.Minute
	minShortLease = 100 * time.Millisecond
	maxShortLease = 10 * time.Minute
	maxLongLease  = 24 * time.Hour
	minExchange   = 10 * time.Millisecond
	minCycle      = time.Millisecond
	maxCycle      = time.Minute
	maxCommit     = 10 * time.Second

	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxInFlight    = 1_000_000
	maxKeyRanges   = 4096
	maxShards      = 4096
	maxNameBytes   = 64

	// heartbeatsPerShortLease is how many heartbeat intervals must fit into a short
	// lease (grant), so that a peer is known to be dead before the leases that
	// it granted expire.
	heartbeatsPerShortLease = 3
	// exchangesPerShortLease is how many intervals between exchanges with a worker
	// must fit into a short lease.
	exchangesPerShortLease = 2
)

func checkEntry(s *Entry, c *checker) {
	checkCommon(&s.Common, c)
	c.address("listen", s.Listen)
	c.number("max_header_bytes", s.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.number("max_in_flight", s.MaxInFlight, 1, maxInFlight)
	c.number("key_ranges", s.KeyRanges, 1, maxKeyRanges)
	c.distinct(namedValue{"peer_listen", s.PeerListen}, namedValue{"listen", s.Listen})
	checkTLS(s.TLS, c, s.addresses(s.Listen))
}

func checkScheduler(s *Scheduler, c *checker) {
	checkCommon(&s.Common, c)
	c.address("operator_listen", s.OperatorListen)
	c.number("shards", s.Shards, 1, maxShards)
	c.duration("grant", s.ShortLease, minShortLease, maxShortLease)
	c.duration("promise.latency", s.LongLeases.Latency, minShortLease, maxLongLease)
	c.duration("promise.batch", s.LongLeases.Batch, minShortLease, maxLongLease)
	c.duration("exchange", s.ExchangeInterval, minExchange, maxShortLease)
	c.duration("cycle", s.CycleInterval, minCycle, maxCycle)
	c.duration("commit", s.CommitWindow, time.Millisecond, maxCommit)
	c.distinct(namedValue{"peer_listen", s.PeerListen}, namedValue{"operator_listen", s.OperatorListen})
	checkLeases(s, c)
	checkTLS(s.TLS, c, s.addresses(s.OperatorListen))
}

// checkLeases checks that the long leases are longer than the short lease, and that
// the exchange and heartbeat intervals are short enough for it.
func checkLeases(s *Scheduler, c *checker) {
	shortLease := s.ShortLease.D()
	if shortLease <= 0 {
		return
	}
	if s.LongLeases.Latency.D() <= shortLease {
		c.add(result.SettingsConflict, "promise.latency", "more than the grant of %v", shortLease)
	}
	if s.LongLeases.Batch.D() <= shortLease {
		c.add(result.SettingsConflict, "promise.batch", "more than the grant of %v", shortLease)
	}
	if s.ExchangeInterval.D()*exchangesPerShortLease > shortLease {
		c.add(result.SettingsConflict, "exchange", "at most 1/%d of the grant of %v", exchangesPerShortLease, shortLease)
	}
	if s.HeartbeatInterval.D()*heartbeatsPerShortLease > shortLease {
		c.add(result.SettingsConflict, "heartbeat", "at most 1/%d of the grant of %v", heartbeatsPerShortLease, shortLease)
	}
}

func checkCommon(s *Common, c *checker) {
	s.Machine.check(c)
	c.name("deployment", s.Deployment)
	c.name("instance", s.Instance)
	checkZones(s, c)
	c.url("platform.tables", s.Platform.Tables)
	c.url("platform.objects", s.Platform.Objects)
	c.url("platform.instances", s.Platform.Instances)
	c.duration("platform.timeout", s.Platform.Timeout, minCall, maxCall)
	c.address("peer_listen", s.PeerListen)
	for i, seed := range s.PeerSeeds {
		c.address(fmt.Sprintf("peer_seeds[%d]", i), seed)
	}
	c.duration("heartbeat", s.HeartbeatInterval, minHeartbeat, maxHeartbeat)
	c.duration("drain", s.DrainTimeout, minDrain, maxDrain)
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
}

func checkZones(s *Common, c *checker) {
	if len(s.Zones) == 0 {
		c.add(result.SettingsZone, "zones", "every availability zone of the deployment")
		return
	}
	for i, z := range s.Zones {
		itemPath := fmt.Sprintf("zones[%d]", i)
		c.name(itemPath, z)
		if slices.Contains(s.Zones[:i], z) {
			c.add(result.SettingsDuplicate, itemPath, "a unique zone, %q is repeated", z)
		}
	}
	if !slices.Contains(s.Zones, s.Zone) {
		c.add(result.SettingsZone, "zone", "one of %s, not %q", strings.Join(s.Zones, ", "), s.Zone)
	}
}

// addresses returns every address and URL of s, and those in more.
func (s *Common) addresses(more ...string) []string {
	more = append(more, s.PeerSeeds...)
	return append(more, s.PeerListen, s.Platform.Tables, s.Platform.Objects, s.Platform.Instances)
}

func (c *checker) name(path, v string) {
	if v == "" {
		c.add(result.SettingsMissing, path, "a name")
		return
	}
	ok := !strings.ContainsFunc(v, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
	if !ok || len(v) > maxNameBytes {
		c.add(result.SettingsRange, path, "at most %d of a-z, 0-9 and -, not %q", maxNameBytes, v)
	}
}

// address checks for an IP address with a port. Host names are not allowed, nor is
// an unspecified address or port 0.
func (c *checker) address(path, v string) {
	if _, err := parseAddress(v); err != nil {
		c.add(result.SettingsAddress, path, "an IP address with a port such as 127.0.0.1:7000, not %q", v)
	}
}

func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, err
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		return a, fmt.Errorf("unspecified address, port 0 or an address with a zone")
	}
	return a, nil
}

func (c *checker) url(path, v string) {
	if _, err := parseURL(v); err != nil {
		c.add(result.SettingsAddress, path, "a URL with an IP address such as http://127.0.0.1:7000, not %q", v)
	}
}

func parseURL(v string) (netip.AddrPort, error) {
	u, err := url.Parse(v)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return netip.AddrPort{}, fmt.Errorf("not a plain http or https URL")
	}
	return parseAddress(u.Host)
}

func (c *checker) number(path string, v, low, high int) {
	inRange(c, path, v, low, high)
}

func (c *checker) duration(path string, v job.Duration, low, high time.Duration) {
	inRange(c, path, v.D(), low, high)
}

func inRange[T cmp.Ordered](c *checker, path string, v, low, high T) {
	if v < low || v > high {
		c.add(result.SettingsRange, path, "%v to %v, not %v", low, high, v)
	}
}

func (c *checker) oneOf(path, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.add(result.SettingsRange, path, "one of %s, not %q", strings.Join(allowed, ", "), v)
	}
}

// namedValue is a setting with its path.
type namedValue struct{ path, value string }

// distinct records an error for every address that is used twice.
func (c *checker) distinct(addresses ...namedValue) {
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if a.value != "" && a.value == b.value {
				c.add(result.SettingsDuplicate, a.path, "an address other than %s, which %s uses", b.value, b.path)
			}
		}
	}
}
