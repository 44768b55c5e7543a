package member

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/contract"
	"skylarkport/internal/link"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// DefaultHeartbeat is the time between heartbeats in a zone.
const DefaultHeartbeat = time.Second

// Config describes a process and where it finds its peers.
type Config struct {
	Deployment string
	Instance   string
	Program    Program
	Zone       string
	Address    string // IP:port of the peer listener
	// Heartbeat is the time between heartbeats in a zone; zero means
	// DefaultHeartbeat.
	Heartbeat time.Duration
	// Seeds are addresses of peers to ask when the platform's list is away.
	Seeds     []string
	Instances contract.Instances // the platform's list; nil for none
	Keys      *link.Keys         // nil for links in clear
	Transport link.Transport     // nil for TCP
	Scope     tally.Scope        // nil for no metrics
}

// NewConfig returns the configuration of program from its settings. It reads
// the key files.
func NewConfig(s *settings.Common, program Program, instances contract.Instances, scope tally.Scope) (Config, error) {
	keys, err := link.LoadKeys(s.TLS, s.Deployment)
	if err != nil {
		return Config{}, err
	}
	return Config{
		Deployment: s.Deployment,
		Instance:   s.Instance,
		Program:    program,
		Zone:       s.Zone,
		Address:    s.PeerListen,
		Heartbeat:  s.Heartbeat.D(),
		Seeds:      s.PeerSeeds,
		Instances:  instances,
		Keys:       keys,
		Scope:      scope,
	}, nil
}

// IDOf returns the id of a process.
func IDOf(instance string, p Program) string { return instance + "/" + string(p) }

func (c *Config) complete() error {
	if c.Instance == "" || c.Program == "" || c.Zone == "" || c.Address == "" || c.Deployment == "" {
		return result.Errorf(result.SettingsMissing, "deployment, instance, program, zone and address of a member")
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return nil
}

// incarnationBytes is the size of a random incarnation.
const incarnationBytes = 8

func newIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}
