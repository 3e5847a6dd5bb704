package event

import "github.com/sirupsen/logrus"

// Event is one kind of log line.
type Event struct {
	// Number identifies the event for good.
	Number int
	// Level is the event's severity.
	Level logrus.Level
	// Message is the text of the line.
	Message string
}

// Log writes the event with its fields.
func (e Event) Log(l *logrus.Logger, fields logrus.Fields) {
	l.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Message)
}
