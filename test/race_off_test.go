//go:build !race

package test

// raceFlag is empty: the tests run without the race detector.
const raceFlag = ""
