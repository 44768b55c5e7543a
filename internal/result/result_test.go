package result

import (
	"fmt"
	"testing"
)

func TestOf(t *testing.T) {
	cause := fmt.Errorf("x")
	tests := []struct {
		name string
		err  error
		want Code
	}{
		{"nil", nil, OK},
		{"plain", cause, Internal},
		{"coded", Errorf(JobBad, "tasks %d", -1), JobBad},
		{"wrapped", fmt.Errorf("y: %w", Wrap(JobUnknown, cause, "j1")), JobUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Of(tt.err); got != tt.want {
				t.Errorf("Of() = %d, want %d", got, tt.want)
			}
		})
	}
}
