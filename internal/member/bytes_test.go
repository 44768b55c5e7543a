package member

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/link"
	"skylarkport/internal/settings"
)

// maxInstanceBytesPerSec is the limit of the bytes per second that both programs of an
// instance together send and receive.
const maxInstanceBytesPerSec = 6_000

// deploymentSize is the size of a deployment.
type deploymentSize struct {
	zones, perZone int
}

// instanceByteRate returns the mean and the highest bytes per second of an instance,
// sent and received by both programs, in the steady state over mutual TLS.
func instanceByteRate(t testing.TB, d *testDeployment, seconds int) (mean, highest float64) {
	t.Helper()
	before := d.instanceBytes()
	time.Sleep(time.Duration(seconds) * time.Second)
	total := 0.0
	after := d.instanceBytes()
	for instance, n := range after {
		rate := float64(n-before[instance]) / float64(seconds)
		total += rate
		highest = max(highest, rate)
	}
	return total / float64(len(after)), highest
}

// instanceBytes sums the bytes of each instance's programs.
func (d *testDeployment) instanceBytes() map[string]int64 {
	out := map[string]int64{}
	for _, p := range d.procs {
		out[p.Self().Instance] += p.Bytes().In.Load() + p.Bytes().Out.Load()
	}
	return out
}

// generateKeys gives every listed process a certificate of one authority.
func (d *testDeployment) generateKeys() {
	d.t.Helper()
	ca, err := link.GenerateCA("test", 24*time.Hour)
	if err != nil {
		d.t.Fatal(err)
	}
	dir := d.t.TempDir()
	for _, i := range d.list.instances {
		for _, p := range programs {
			id := link.Identity{Deployment: "dosanko", Instance: i.ID, Program: string(p)}
			pair, err := link.GenerateCert(ca, id, time.Now(), time.Now().Add(24*time.Hour))
			if err != nil {
				d.t.Fatal(err)
			}
			d.keys[PeerID(i.ID, p)] = d.storeKeys(filepath.Join(dir, i.ID+string(p)), ca, pair)
		}
	}
}

// storeKeys writes the files of a process under the path prefix and loads them.
func (d *testDeployment) storeKeys(prefix string, ca, pair link.KeyPair) *link.Keys {
	d.t.Helper()
	files := settings.TLS{CA: prefix + ".ca", Cert: prefix + ".cert", Key: prefix + ".key"}
	for name, data := range map[string][]byte{files.CA: ca.Cert, files.Cert: pair.Cert, files.Key: pair.Key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			d.t.Fatal(err)
		}
	}
	keys, err := link.LoadKeys(files, "dosanko")
	if err != nil {
		d.t.Fatal(err)
	}
	return keys
}

// TestBytes checks the bytes per second of an instance at the required size of a
// deployment, with mutual TLS and the default heartbeat interval, in virtual time.
func TestBytes(t *testing.T) {
	for _, size := range []deploymentSize{{3, 7}, {7, 7}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment(t, size.zones, size.perZone)
				d.generateKeys()
				d.startAll()
				time.Sleep(8 * time.Second)
				d.wantAllAlive("steady")
				mean, highest := instanceByteRate(t, d, crossZoneFactor)
				t.Logf("bytes/s of an instance (2 programs, in and out): mean %.0f, highest %.0f", mean, highest)
				if highest > maxInstanceBytesPerSec {
					t.Errorf("%.0f bytes/s, want at most %d", highest, maxInstanceBytesPerSec)
				}
			})
		})
	}
}
