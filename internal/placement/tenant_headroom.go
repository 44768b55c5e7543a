package placement

// tenantHeadroom checks that the tenant may still commit what the task needs.
type tenantHeadroom struct{}

func (tenantHeadroom) name() string { return StageHeadroom }

func (tenantHeadroom) check(c *cycle, t *candidate) (Step, string) {
	h, limited := c.headroom[t.p.Spec.Tenant]
	if !limited || t.commit.Fits(h) {
		return "", ""
	}
	return Wait, "the tenant's quota in this shard is spent"
}

// charge takes t's commitment off its tenant's headroom.
func (c *cycle) charge(t *candidate) {
	if h, limited := c.headroom[t.p.Spec.Tenant]; limited {
		c.headroom[t.p.Spec.Tenant] = h.Sub(t.commit)
	}
}
