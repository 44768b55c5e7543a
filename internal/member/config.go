package member

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/contract"
	"skylarkport/internal/ingress"
	"skylarkport/internal/link"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// DefaultHeartbeat is the interval of heartbeats between peers of one zone.
const DefaultHeartbeat = time.Second

// Config describes a process and how it finds its peers.
type Config struct {
	Deployment string
	Instance   string
	Program    Program
	Zone       string
	Address    string // IP:port of the peer listener
	// Heartbeat is the interval of heartbeats between peers of one zone; zero
	// means DefaultHeartbeat.
	Heartbeat time.Duration
	// Seeds are addresses of peers, dialed until a connection to a peer is open,
	// so that a process finds its peers while the platform's list is unavailable.
	Seeds     []string
	Instances contract.Instances // the platform's list of instances; nil for none
	Keys      *link.Keys         // nil for unencrypted connections
	Transport link.Transport     // nil for TCP
	Scope     tally.Scope        // nil for no metrics
	Port      *ingress.Port      // bounds the peers that connect; nil for no bound
}

// NewConfig returns the configuration of program from its settings. It reads the
// key and certificate files.
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
		Heartbeat:  s.HeartbeatInterval.D(),
		Seeds:      s.PeerSeeds,
		Instances:  instances,
		Keys:       keys,
		Scope:      scope,
		Port: ingress.New(ingress.Config{
			Name: "peers", Share: s.Machine.Size().Peers(), Scope: scope,
			Limits: func() ingress.Limits { return ingress.Limits{} }, // package link has its own
		}),
	}, nil
}

// PeerID returns the peer id of the process that runs program p of an instance.
func PeerID(instance string, p Program) string { return instance + "/" + string(p) }

// complete checks the required fields and sets the defaults of the others.
func (c *Config) complete() error {
	if c.Instance == "" || c.Program == "" || c.Zone == "" || c.Address == "" || c.Deployment == "" {
		return result.Errorf(result.SettingsMissing, "membership needs deployment, instance, program, zone and peer address")
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return nil
}

// incarnationIDBytes is the size of the random id of an incarnation.
const incarnationIDBytes = 8

// newIncarnation returns a random id that distinguishes this start of the process
// from earlier and later ones.
func newIncarnation() string {
	b := make([]byte, incarnationIDBytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}
