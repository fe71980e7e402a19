package controller

// Records that an earlier version has made larger than the state service takes now.

// tasksPerRecord is how many tasks go into a record now.
func (l *leader) tasksPerRecord() int { return tasksPerRecord(l.c.cfg.Facts.State.Tightest().ValueKB) }

func (j *job) chunkKey(n int) string {
	if j.divided {
		return dividedChunkKey(j.id, n)
	}
	return chunkKey(j.id, n)
}

// divide divides a job into smaller chunks than its header says: an earlier version has
// fixed there how many tasks share a record, and that may be more than may be written
// now. The larger records stay as they are, and a small one, once it is written, stands
// for its tasks instead. No earlier version could read this, so it waits until none can
// come back.
func (l *leader) divide(j *job) {
	per := l.tasksPerRecord()
	chunks := make([]chunk, (j.spec.Tasks+per-1)/per)
	for n := range chunks {
		for t := n * per; t < min((n+1)*per, j.spec.Tasks); t++ {
			of := j.chunks[t/j.tasksPerRecord]
			chunks[n].lastAttempt = max(chunks[n].lastAttempt, of.lastAttempt)
			chunks[n].dirty = chunks[n].dirty || of.dirty
		}
	}
	for n := range j.chunks {
		if j.chunks[n].version > 0 {
			j.undividedKeys = append(j.undividedKeys, chunkKey(j.id, n))
		}
	}
	j.tasksPerRecord, j.chunks, j.divided = per, chunks, true
}
