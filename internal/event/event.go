package event

import "github.com/sirupsen/logrus"

// Event describes one kind of log line.
type Event struct {
	// Number identifies the event permanently.
	Number int
	// Level is the event's severity.
	Level logrus.Level
	// Message is the text of the log line.
	Message string
}

// Log writes the event to the logger, with the given fields.
func (e Event) Log(l *logrus.Logger, fields logrus.Fields) {
	l.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Message)
}
