package config

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// Upper bounds of the values in a document.
const (
	maxLeaseMS   = 600_000
	maxTaskBound = 10_000
	maxBodyBound = 64 << 20
)

// Errors of this package.
var (
	// ErrInvalid is returned for a malformed document, which is rejected as a whole.
	ErrInvalid = eris.New("config: invalid document")
	// ErrConflict is returned when another change was accepted first.
	ErrConflict = eris.New("config: conflict")
	// ErrUnavailable is returned when the platform's table service does not answer.
	ErrUnavailable = eris.New("config: platform unavailable")
)

// namePattern matches the names of members, kinds and targets.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// problems collects the violations found in a document.
type problems []string

func (p *problems) add(format string, args ...any) {
	*p = append(*p, fmt.Sprintf(format, args...))
}

// Check validates the document and returns an ErrInvalid that lists every violation.
func (d *Document) Check() error {
	var p problems
	d.checkMembers(&p)
	d.checkKinds(&p)
	d.checkLimits(&p)
	for _, name := range d.Leaving {
		if !namePattern.MatchString(name) {
			p.add("leaving: %q is no target name", name)
		}
	}
	if len(p) == 0 {
		return nil
	}
	return eris.Wrap(ErrInvalid, strings.Join(p, "; "))
}

func (d *Document) checkMembers(p *problems) {
	if len(d.Members) == 0 {
		p.add("members: at least one is needed")
	}
	seen := map[string]bool{}
	for i, m := range d.Members {
		if !namePattern.MatchString(m.Name) {
			p.add("members[%d].name: %q must match %s", i, m.Name, namePattern)
		}
		if seen[m.Name] {
			p.add("members[%d].name: %q is declared twice", i, m.Name)
		}
		seen[m.Name] = true
		if len(m.Secrets) == 0 {
			p.add("members[%d].secrets: at least one hashed secret is needed", i)
		}
		for j, s := range m.Secrets {
			if !validHash(s) {
				p.add("members[%d].secrets[%d]: must be the output of 'rackspur config secret'", i, j)
			}
		}
		if m.Rate < 0 || m.Concurrency < 0 || m.Weight < 1 {
			p.add("members[%d]: rate and concurrency must be 0 or more, weight 1 or more", i)
		}
	}
}

func (d *Document) checkKinds(p *problems) {
	if len(d.Kinds) == 0 {
		p.add("kinds: at least one is needed")
	}
	seen := map[string]bool{}
	for i, k := range d.Kinds {
		if !namePattern.MatchString(k.Name) {
			p.add("kinds[%d].name: %q must match %s", i, k.Name, namePattern)
		}
		if seen[k.Name] {
			p.add("kinds[%d].name: %q is declared twice", i, k.Name)
		}
		seen[k.Name] = true
		if k.ExpectMS < 1 || k.LeaseMS < k.ExpectMS || k.LeaseMS > maxLeaseMS {
			p.add("kinds[%d]: needs 1 <= expect_ms <= lease_ms <= %d", i, maxLeaseMS)
		}
		if k.DeadlineMS < 1 || k.DeadlineMS > maxLeaseMS {
			p.add("kinds[%d].deadline_ms: must be 1 to %d", i, maxLeaseMS)
		}
	}
}

func (d *Document) checkLimits(p *problems) {
	l := d.Limits
	if l.MaxTasks < 1 || l.MaxTasks > maxTaskBound {
		p.add("limits.max_tasks: %d must be 1 to %d", l.MaxTasks, maxTaskBound)
	}
	if l.MaxBodyBytes < 1 || l.MaxBodyBytes > maxBodyBound {
		p.add("limits.max_body_bytes: %d must be 1 to %d", l.MaxBodyBytes, maxBodyBound)
	}
	if l.MaxWaitMS < 1 {
		p.add("limits.max_wait_ms: %d must be 1 or more", l.MaxWaitMS)
	}
	if l.BlockMintMS < 1 || l.BlockLifetimeMS < 2*l.BlockMintMS {
		p.add("limits: block_lifetime_ms must be at least twice block_mint_ms")
	}
}
