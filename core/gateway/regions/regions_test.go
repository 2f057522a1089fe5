package regions

import "testing"

func TestIntersect(t *testing.T) {
	tests := []struct {
		a, b, want Set
		ok         bool
	}{
		{"", "", "", true},
		{"", "x", "x", true},
		{"x,y", "", "x,y", true},
		{Of([]string{"y", "x", "y"}), Of([]string{"z", "y"}), "y", true},
		{"x", "y", "", false},
	}
	for _, tc := range tests {
		if got, ok := Intersect(tc.a, tc.b); got != tc.want || ok != tc.ok {
			t.Errorf("intersection of %q and %q: %q, %v", tc.a, tc.b, got, ok)
		}
	}
	if !Set("").Allows("x") || !Set("x,y").Allows("y") || Set("x,y").Allows("z") || Set("xy").Allows("x") {
		t.Error("Allows returned a wrong result")
	}
}
