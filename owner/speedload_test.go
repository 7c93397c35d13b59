package owner

import (
	"testing"
	"time"
)

// The loads of docs/design/decisions-under-load.md, part 1, each placed by room and by speed.
// Jobs are late by room where a part of the targets is slow by less than twice the median, or
// while one that had become fast again is avoided; by speed hardly any are while the fast
// targets could carry the load alone.
func TestLoadsBySpeed(t *testing.T) {
	tests := []struct {
		name string
		load fleetLoad
		// minByRoom and maxBySpeed bound the share of late or refused jobs.
		minByRoom, maxBySpeed float64
	}{
		{"a third at half speed", fleetLoad{slowness: targets(12, 3, 2, 1), factor: 1}, 0.1, 0.015},
		{"a third at 0.55 of the others", fleetLoad{slowness: targets(12, 3, 1/0.55, 1), factor: 1}, 0.1, 0.015},
		{"a third at 0.65, the others at 1.2", fleetLoad{slowness: targets(12, 3, 1/0.65, 1/1.2), factor: 1.2}, 0.05, 0.015},
		{"a third at half speed, a real shortage", fleetLoad{slowness: targets(12, 3, 2, 1), factor: 1.6}, 0.28, 0.24},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			byRoom, bySpeed := playBoth(t, test.load)
			if got := byRoom.lostShare(); got < test.minByRoom {
				t.Errorf("%.3f of the jobs are lost by room, want at least %.3f for the test to show anything", got, test.minByRoom)
			}
			if got := bySpeed.lostShare(); got > test.maxBySpeed {
				t.Errorf("%.3f of the jobs are lost by speed, want at most %.3f", got, test.maxBySpeed)
			}
		})
	}
}

// Where all targets are equally fast, placing by speed changes nothing, also if they are all
// slow or tasks are much longer than their estimates.
func TestEqualTargetsBySpeed(t *testing.T) {
	loads := map[string]fleetLoad{
		"a share of tasks takes seven times as long": {slowness: targets(12, 0, 1, 1), factor: 1, longTail: 0.02},
		"all somewhat slow":                          {slowness: targets(12, 0, 1.4, 1.4), factor: 0.8},
		"all slow":                                   {slowness: targets(12, 0, 2.2, 2.2), factor: 0.5},
		"nothing unusual":                            {slowness: targets(12, 0, 1, 1), factor: 1.2},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			byRoom, bySpeed := playBoth(t, load)
			if more := bySpeed.lostShare() - byRoom.lostShare(); more > 0.02 {
				t.Errorf("%.3f more of the jobs are lost by speed", more)
			}
			if got := float64(bySpeed.held) / float64(bySpeed.jobs); got > 0.04 {
				t.Errorf("%d tasks of %d jobs were held", bySpeed.held, bySpeed.jobs)
			}
		})
	}
}

// After all gates have restarted, speeds are unknown and tasks are placed by room until runs have
// ended; that costs no more than the jobs of that time.
func TestGatesRestartBySpeed(t *testing.T) {
	load := fleetLoad{slowness: targets(12, 3, 2, 1), factor: 1, restartAt: 5 * time.Second}
	byRoom, bySpeed := playBoth(t, load)
	if got := bySpeed.lostShare(); got > 0.04 || got > byRoom.lostShare()/2 {
		t.Errorf("%.3f of the jobs are lost by speed, %.3f by room", got, byRoom.lostShare())
	}
}

// playBoth plays a load by room and by speed.
func playBoth(t *testing.T, l fleetLoad) (byRoom, bySpeed fleetResult) {
	t.Helper()
	l.owners, l.lasts, l.seed = 4, 8*time.Second, 1
	byRoom = playFleet(t, l)
	l.placing.PlaceBySpeed = true
	bySpeed = playFleet(t, l)
	t.Logf("by room: %v", byRoom)
	t.Logf("by speed: %v", bySpeed)
	return byRoom, bySpeed
}
