package retry

import "testing"

func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		ratio    float64
		want     int // retries allowed if every request needs one
	}{
		{"empty", 0, 0.08, 0},
		{"less than one retry", 12, 0.08, 0},
		{"in proportion", 1000, 0.08, 79},
		{"ratio 0", 1000, 0, 0},
		{"one per request", 100, 1, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Budget
			got := 0
			for range tt.requests {
				b.Deposit(tt.ratio)
				if b.Withdraw() {
					got++
				}
			}
			if got < tt.want || got > tt.want+1 {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}

// TestBudgetSavesLittle checks that no more than maxSavedRetries retries are
// saved up.
func TestBudgetSavesLittle(t *testing.T) {
	var b Budget
	for range 100000 {
		b.Deposit(1)
	}
	got := 0
	for b.Withdraw() {
		got++
	}
	if got != maxSavedRetries {
		t.Errorf("%d retries saved, want %d", got, maxSavedRetries)
	}
}
