//go:build race

package hop

// raceEnabled is set with the race detector, under which pools drop what they hold at random.
const raceEnabled = true
