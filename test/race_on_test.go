//go:build race

package test

// raceFlag builds the program under test with the race detector too.
const raceFlag = "-race"
