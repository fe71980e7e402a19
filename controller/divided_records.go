package controller

// Division of task records that an earlier version wrote larger than the state service accepts now.

// tasksPerRecord returns how many tasks fit into a record under the lower of the present and the upcoming limits.
func (l *leader) tasksPerRecord() int { return tasksPerRecord(l.c.cfg.Facts.State.MinLimits().ValueKB) }

func (j *job) chunkKey(n int) string {
	if j.divided {
		return dividedChunkKey(j.id, n)
	}
	return chunkKey(j.id, n)
}

// divide divides a job into smaller chunks than its header specifies: an earlier version stored
// there how many tasks share a record, which may be more than can be written now. The undivided
// records stay unchanged, and a divided record, once written, replaces them for its tasks. Earlier
// versions can't read divided records, so callers divide a job only when no earlier version can
// run any more, or when recovery finds divided records of the job.
func (l *leader) divide(j *job) {
	per := l.tasksPerRecord()
	chunks := make([]chunk, (j.spec.Tasks+per-1)/per)
	for n := range chunks {
		for t := n * per; t < min((n+1)*per, j.spec.Tasks); t++ {
			undivided := j.chunks[t/j.tasksPerRecord]
			chunks[n].lastAttempt = max(chunks[n].lastAttempt, undivided.lastAttempt)
			chunks[n].dirty = chunks[n].dirty || undivided.dirty
		}
	}
	for n := range j.chunks {
		if j.chunks[n].version > 0 {
			j.undividedKeys = append(j.undividedKeys, chunkKey(j.id, n))
		}
	}
	j.tasksPerRecord, j.chunks, j.divided = per, chunks, true
}
