package gate

// noteWaiting records the waiting work in an owner's frame. The other owners are told with the
// next frame that they get anyway: the work changes with nearly every frame, and a report for
// each change would wake every owner of the gate.
func (g *Gate) noteWaiting(now Time, owner string, f *OwnerFrame) {
	g.load.Report(now, owner, f.Waiting)
}
