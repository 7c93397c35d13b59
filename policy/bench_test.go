package policy

import (
	"testing"

	"rackspur/dispatch"
)

// benchTargets is the maximum number of candidates that an entry box proposes.
const benchTargets = 32

func benchInput() (dispatch.JobView, []dispatch.TargetView) {
	s := Samples()[1]
	targets := make([]dispatch.TargetView, benchTargets)
	for i := range targets {
		targets[i] = s.Targets[i%len(s.Targets)]
		targets[i].Self = i == 0
	}
	return s.Job, targets
}

func BenchmarkPlaceNative(b *testing.B) {
	job, targets := benchInput()
	b.ReportAllocs()
	for b.Loop() {
		dispatch.Native{}.Place(job, targets)
	}
}

func BenchmarkPlaceStarlark(b *testing.B) {
	job, targets := benchInput()
	p, err := loadShipped(Default)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := p.place(job, targets); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAdmitStarlark(b *testing.B) {
	job, _ := benchInput()
	p, err := loadShipped(Default)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := p.admit(job); err != nil {
			b.Fatal(err)
		}
	}
}
