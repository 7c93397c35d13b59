package gate

// noteWaiting records the waiting work in an owner's frame. It is reported to the other owners
// with the frames that they get anyway: it changes with nearly every frame, and a report for
// each change would wake every owner of the gate.
func (g *Gate) noteWaiting(now Time, owner string, f *OwnerFrame) {
	g.load.Report(now, owner, f.Waiting)
}
