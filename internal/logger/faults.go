package logger

// maxFaultBytes bounds what the log states of a row's fault, which can quote the row.
const maxFaultBytes = 200

// Faults holds the latest fault of each row that can't be read, so that a row that is
// written again and again with the same fault is logged once.
type Faults map[string]string

// Record stores a row's fault, nil if the row can be read. It returns the text to log,
// and false if that was logged before or there is none.
func (f Faults) Record(key string, err error) (text string, isNew bool) {
	if err == nil {
		delete(f, key)
		return "", false
	}
	text = err.Error()
	if len(text) > maxFaultBytes {
		text = text[:maxFaultBytes] + "..."
	}
	isNew = f[key] != text
	f[key] = text
	return text, isNew
}
