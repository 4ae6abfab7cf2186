package scenario

import "time"

// quotaBucket is a token bucket that holds one second of a tenant's quota.
type quotaBucket struct {
	quota    float64 // messages per second; 0: unlimited
	tokens   float64
	filledAt time.Duration
}

// quotaBuckets are the token buckets of all tenants, in the scenario's order.
type quotaBuckets []quotaBucket

func (s *Scenario) newQuotaBuckets() quotaBuckets {
	buckets := make(quotaBuckets, len(s.Tenants))
	for i, tenant := range s.Tenants {
		buckets[i] = quotaBucket{quota: tenant.Quota, tokens: tenant.Quota}
	}
	return buckets
}

// take takes a token from a tenant's bucket. It returns false if the bucket is empty, which means that the message is beyond the
// tenant's quota.
func (b quotaBuckets) take(tenant int, at time.Duration) bool {
	if tenant < 0 || b[tenant].quota == 0 {
		return true
	}
	bucket := &b[tenant]
	bucket.tokens = min(bucket.quota, bucket.tokens+(at-bucket.filledAt).Seconds()*bucket.quota)
	bucket.filledAt = at
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
