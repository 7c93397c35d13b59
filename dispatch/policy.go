package dispatch

// Policy makes the decisions that operators may program.
type Policy interface {
	// Admit decides whether a new job is taken.
	Admit(j JobView) Verdict
	// Place spreads the tasks of a job over targets.
	Place(j JobView, targets []TargetView) Plan
	// Retry tells how long a task that a target refused is held back.
	Retry(r RetryView) RetryVerdict
	// Drain decides what becomes of jobs that have not started when their home
	// leaves.
	Drain(d DrainView) DrainVerdict
}

// JobView is what a policy sees of a job.
type JobView struct {
	// Submission names the submission in logs and to those who watch.
	Submission   string
	Member, Kind string
	// Tasks is the number of tasks to be placed.
	Tasks int
	// ExpectMS and LongestMS are the mean and the largest expected run time.
	ExpectMS, LongestMS float64
	DeadlineMS          float64
	// ExpectedWaitMS is the wait that the known load suggests.
	ExpectedWaitMS float64
	// HomeWaiting is the number of tasks queued at this home, MemberWaiting of them the member's.
	HomeWaiting, MemberWaiting int
	// Slots and Free count the slots of the known targets.
	Slots, Free int
	// MaxWaitMS is the configured bound of the wait.
	MaxWaitMS float64
	// Domain is the home's failure domain.
	Domain string
}

// TargetView is what a policy sees of a target.
type TargetView struct {
	Name, Domain string
	// Self marks the target on the home's own box.
	Self bool
	// Slots and Free count its slots; Waiting the tasks queued at its home.
	Slots, Free, Waiting int
	// Pace is the ratio of run time to expected run time.
	Pace float64
	// ServiceMS is its mean run time in milliseconds.
	ServiceMS float64
	// Tie is a number drawn for this job, 0 or more and less than 1, by which
	// homes that see the same loads choose differently.
	Tie float64
}

// Verdict is the answer of Admit.
type Verdict struct {
	Admit        bool
	Reason       string
	RetryAfterMS uint32
}

// Share gives N tasks to the target with index Target in the list shown to Place.
type Share struct {
	Target, N int
}

// Plan is the answer of Place. Tasks that no share covers wait at the home
// until one of the targets in Wait has a slot.
type Plan struct {
	Start []Share
	Wait  []int
	// Eager asks each other target in Wait for one slot at least, at the price
	// of wishes that are withdrawn when the own target was faster.
	Eager bool
}

// RetryView is what a policy sees of a refused task.
type RetryView struct {
	Submission string
	Kind       string
	Refusals   int
	// LeftMS is the time to the deadline.
	LeftMS float64
}

// RetryVerdict is the answer of Retry.
type RetryVerdict struct {
	Again   bool
	AfterMS float64
}

// DrainView is what a policy sees of a home that leaves.
type DrainView struct {
	// Jobs counts the jobs of which no task has started, Waiting their tasks.
	Jobs, Waiting int
}

// DrainVerdict is the answer of Drain.
type DrainVerdict struct {
	// Move keeps such jobs: the home places their tasks on other targets.
	// Otherwise they are refused for Reason and did not run.
	Move         bool
	Reason       string
	RetryAfterMS uint32
}
