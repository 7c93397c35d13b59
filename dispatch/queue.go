package dispatch

// fairQueue holds the jobs with waiting tasks. Members take turns by deficit
// round robin with their weights, so that one member's burst delays only
// itself. Within a member the jobs take turns too, a task each, so that a small
// request does not wait for the end of a large one.
type fairQueue struct {
	members map[string]*memberQueue
	turn    []*memberQueue
	tasks   int
}

type memberQueue struct {
	name   string
	weight int
	credit int
	jobs   []*job
}

func newFairQueue() *fairQueue {
	return &fairQueue{members: map[string]*memberQueue{}}
}

// push adds a job that has waiting tasks and is not in the queue.
func (q *fairQueue) push(j *job) {
	m := q.members[j.sub.Member]
	if m == nil {
		m = &memberQueue{name: j.sub.Member}
		q.members[m.name] = m
		q.turn = append(q.turn, m)
	}
	m.weight = max(1, j.sub.Weight)
	m.jobs = append(m.jobs, j)
	q.tasks += len(j.waiting)
}

// remove takes a job out of the queue.
func (q *fairQueue) remove(j *job) {
	m := q.members[j.sub.Member]
	if m == nil {
		return
	}
	for i, other := range m.jobs {
		if other == j {
			m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
			q.tasks -= len(j.waiting)
			break
		}
	}
	if len(m.jobs) == 0 {
		q.dropMember(m)
	}
}

// next returns the job whose task starts next, or nil.
func (q *fairQueue) next() *job {
	for range 2 * len(q.turn) {
		m := q.turn[0]
		if m.credit > 0 {
			if i := m.ready(); i >= 0 {
				m.credit--
				return m.turnOf(i)
			}
		}
		m.credit = m.weight
		q.turn = append(q.turn[1:], m)
	}
	return nil
}

// ready returns the place of the first job that the retry policy does not hold
// back, or -1.
func (m *memberQueue) ready() int {
	for i, j := range m.jobs {
		if j.paused == 0 {
			return i
		}
	}
	return -1
}

// turnOf returns a job and puts it behind the member's others.
func (m *memberQueue) turnOf(i int) *job {
	j := m.jobs[i]
	copy(m.jobs[i:], m.jobs[i+1:])
	m.jobs[len(m.jobs)-1] = j
	return j
}

// all returns the jobs in the queue.
func (q *fairQueue) all() []*job {
	var jobs []*job
	for _, m := range q.turn {
		jobs = append(jobs, m.jobs...)
	}
	return jobs
}

// took tells that one waiting task of a queued job was taken.
func (q *fairQueue) took(j *job) {
	q.tasks--
	if len(j.waiting) > 0 {
		return
	}
	q.remove(j)
}

func (q *fairQueue) dropMember(m *memberQueue) {
	delete(q.members, m.name)
	for i, other := range q.turn {
		if other == m {
			q.turn = append(q.turn[:i], q.turn[i+1:]...)
			return
		}
	}
}
